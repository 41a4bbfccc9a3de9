#include "simulation.h"

#include "heatherridge_state/groups/stageplan.h"
#include "heatherridge_state/groups/stragglerdetector.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace Heatherridge
{

namespace
{

/** Time budget for loading one stage. */
constexpr std::chrono::duration<double> StageDuration{30};
/** Pause of the group at a switch: one step. */
constexpr std::chrono::duration<double> SwitchPause{0.05};
/** Windows for which reports are held back before they are processed. */
constexpr std::size_t ReportLagWindows = 2;

/** State of one simulation run. */
class Simulation
{
public:
    Simulation(const SimulationOptions &options, const RebalancePolicy &policy)
        : m_options(options)
        , m_policy(policy)
        , m_trace(options.trace)
        , m_lossRandom(options.trace.seed ^ 0x5eedU)
        , m_estimator(options.trace.shape)
        , m_stragglers(options.trace.shape.ranks())
        , m_map(std::get<ExpertMap>(ExpertMap::create(
              MapNumber{1}, options.trace.shape,
              std::get<std::vector<LayerPlacement>>(improvePlacement(m_trace.currentProblem(), {}, {})))))
    {
    }

    SimulationResult run()
    {
        for (int window = 1; window <= m_options.trace.windows; ++window) {
            m_trace.advance();
            advanceStages();
            recordMetrics();
            processReports(static_cast<std::uint64_t>(window));
            if (m_targetLayers.empty()) {
                requestDecision();
            }
        }
        return summarize();
    }

private:
    void recordMetrics()
    {
        m_skews.push_back(stepSkew(m_trace.currentProblem(), m_map.layers()));
        m_result.boundSkew += stepSkewLowerBound(m_trace.currentProblem());
        m_result.meanExcess += excessTimeRatio(m_trace.currentProblem(), m_map.layers());
    }

    void processReports(std::uint64_t window)
    {
        m_pendingReports.push_back({m_map, m_trace.reports(m_map, window)});
        if (m_pendingReports.size() <= ReportLagWindows) {
            return;
        }
        auto [map, reports] = std::move(m_pendingReports.front());
        m_pendingReports.pop_front();
        std::erase_if(reports, [this](const auto &) { return m_lossRandom.fraction() < m_options.reportLossRatio; });
        for (const auto &rankReport : reports) {
            m_estimator.addReport(rankReport, map);
        }
        m_stragglers.addWindow(reports);
        m_estimator.closeWindows(window - ReportLagWindows + PopularityEstimator::OpenWindows + 1);
    }

    GroupProblem estimatedProblem() const
    {
        GroupProblem problem{.shape = m_options.trace.shape, .layers = {}};
        for (int layer = 0; layer < problem.shape.layers; ++layer) {
            LayerProblem layerProblem{
                .load = m_estimator.fractions(layer), .slowness = {}, .slots = problem.shape.slots};
            for (int rank = 0; rank < problem.shape.ranks(); ++rank) {
                layerProblem.slowness.push_back(m_stragglers.slowness(rank));
            }
            problem.layers.push_back(std::move(layerProblem));
        }
        return problem;
    }

    void requestDecision()
    {
        const auto problem = estimatedProblem();
        auto newLayers = decide(m_policy,
                                {.problem = problem,
                                 .current = m_map.layers(),
                                 .relativeError = m_estimator.relativeError(),
                                 .sinceLastCall = m_options.trace.windowLength + m_rebalanceTime,
                                 .storeBytesPerSecond = m_options.storeBytesPerSecond,
                                 .weights = m_options.weights});
        m_rebalanceTime = {};
        if (newLayers) {
            m_targetLayers = std::move(*newLayers);
            startStage();
        }
    }

    void startStage()
    {
        const auto budget = static_cast<std::uint64_t>(m_options.storeBytesPerSecond * StageDuration.count());
        m_stage = nextStage(estimatedProblem(), m_map.layers(), m_targetLayers, budget);
        const auto bytes = static_cast<double>(bytesToMove(m_options.trace.shape, m_map.layers(), m_stage));
        m_result.bytesMoved += bytes;
        m_loadTimeLeft += std::chrono::duration<double>(bytes / m_options.storeBytesPerSecond);
        m_result.loadingRatio += bytes / m_options.storeBytesPerSecond;
    }

    void advanceStages()
    {
        if (m_targetLayers.empty()) {
            m_loadTimeLeft = {};
            return;
        }
        m_rebalanceTime += m_options.trace.windowLength;
        m_loadTimeLeft -= m_options.trace.windowLength;
        while (!m_targetLayers.empty() && m_loadTimeLeft.count() <= 0) {
            m_map = std::get<ExpertMap>(
                ExpertMap::create(MapNumber{toNumber(m_map.number()) + 1}, m_options.trace.shape, std::move(m_stage)));
            ++m_result.switches;
            m_result.stallTime += SwitchPause;
            if (m_map.layers() == m_targetLayers) {
                m_targetLayers.clear();
            } else {
                startStage();
            }
        }
    }

    SimulationResult summarize()
    {
        const int windows = m_options.trace.windows;
        const double seconds = m_options.trace.windowLength.count() * windows;
        auto skews = m_skews;
        std::sort(skews.begin(), skews.end());
        m_result.p99Skew = skews[static_cast<std::size_t>(0.99 * (windows - 1))];
        for (const double skew : skews) {
            m_result.meanSkew += skew / windows;
        }
        m_result.boundSkew /= windows;
        m_result.meanExcess /= windows;
        m_result.loadingRatio /= seconds;
        m_result.score = m_options.weights.skew * m_result.meanExcess
            + m_options.weights.cost * (m_result.loadingRatio + m_result.stallTime.count() / seconds);
        return m_result;
    }

    const SimulationOptions &m_options;
    RebalancePolicy m_policy;
    LoadTrace m_trace;
    SeededRandom m_lossRandom;
    PopularityEstimator m_estimator;
    StragglerDetector m_stragglers;
    ExpertMap m_map;
    std::vector<LayerPlacement>
        m_targetLayers; ///< placement being loaded in stages; empty when no change is in progress
    std::vector<LayerPlacement> m_stage;
    std::chrono::duration<double> m_loadTimeLeft{};
    std::chrono::duration<double> m_rebalanceTime{};
    std::deque<std::pair<ExpertMap, std::vector<RankReport>>> m_pendingReports;
    std::vector<double> m_skews;
    SimulationResult m_result;
};

} // namespace

SimulationResult &SimulationResult::operator+=(const SimulationResult &other)
{
    meanSkew += other.meanSkew;
    p99Skew += other.p99Skew;
    boundSkew += other.boundSkew;
    meanExcess += other.meanExcess;
    bytesMoved += other.bytesMoved;
    switches += other.switches;
    stallTime += other.stallTime;
    loadingRatio += other.loadingRatio;
    score += other.score;
    return *this;
}

SimulationResult SimulationResult::dividedBy(int runs) const
{
    SimulationResult mean = *this;
    mean.meanSkew /= runs;
    mean.p99Skew /= runs;
    mean.boundSkew /= runs;
    mean.meanExcess /= runs;
    mean.bytesMoved /= runs;
    mean.switches /= runs;
    mean.stallTime /= runs;
    mean.loadingRatio /= runs;
    mean.score /= runs;
    return mean;
}

SimulationResult simulate(const SimulationOptions &options, const RebalancePolicy &policy)
{
    return Simulation(options, policy).run();
}

} // namespace Heatherridge
