#include "loadtrace.h"

#include <array>
#include <cmath>
#include <numbers>
#include <numeric>

namespace Heatherridge
{

namespace
{

constexpr std::array Kinds{TraceKind::Drift, TraceKind::Season, TraceKind::HotExpert, TraceKind::SlowRank,
                           TraceKind::Noise};

/** Standard deviation of the logarithm of popularity: the hottest of 64 experts has about four times the mean. */
constexpr double BaseSpread = 0.7;
/** Standard deviation that the random walk reaches within an hour. */
constexpr double DriftPerHour = 0.5;
/** Amplitude of the seasonal oscillation of the logarithm: at its peak an expert is twice as popular as on average. */
constexpr double SeasonSwing = 0.7;
constexpr std::chrono::duration<double> SeasonPeriod = std::chrono::hours(2);
constexpr double HotFactor = 6;
constexpr int HotExperts = 2;
constexpr double SlowFactor = 1.4;
constexpr int SlowRank = 5;
/** Factor by which the noise exceeds that of independently routed tokens, since tokens of a prompt share a topic. */
constexpr double Burstiness = 3;
/** Time per token in an expert layer; only ratios matter. */
constexpr double MicrosecondsPerToken = 10;

/** Draws a number from the standard normal distribution. */
double standardNormal(RandomSource &random)
{
    const double radius = std::sqrt(-2 * std::log(1 - random.fraction()));
    return radius * std::cos(2 * std::numbers::pi * random.fraction());
}

} // namespace

std::span<const TraceKind> allTraceKinds()
{
    return Kinds;
}

std::string_view toString(TraceKind kind)
{
    switch (kind) {
    case TraceKind::Drift:
        return "drift";
    case TraceKind::Season:
        return "season";
    case TraceKind::HotExpert:
        return "hot-expert";
    case TraceKind::SlowRank:
        return "slow-rank";
    case TraceKind::Noise:
        return "noise";
    }
    return "";
}

LoadTrace::LoadTrace(const TraceOptions &options)
    : m_options(options)
    , m_random(options.seed)
{
    const int count = options.shape.layers * options.shape.experts;
    m_logPopularity.reserve(static_cast<std::size_t>(count));
    m_phaseTurns.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        m_logPopularity.push_back(BaseSpread * standardNormal(m_random));
        m_phaseTurns.push_back(m_random.fraction());
    }
    m_problem.shape = options.shape;
    m_problem.layers.resize(static_cast<std::size_t>(options.shape.layers));
    for (auto &layer : m_problem.layers) {
        layer.load.resize(static_cast<std::size_t>(options.shape.experts));
        layer.slots = options.shape.slots;
        layer.slowness.assign(options.shape.slots.size(), 1);
    }
    advance();
    m_window = 0;
}

void LoadTrace::advance()
{
    ++m_window;
    const double hours = std::chrono::duration<double, std::ratio<3600>>(m_options.windowLength).count();
    if (m_options.kind == TraceKind::Drift) {
        for (auto &base : m_logPopularity) {
            // Mean reversion keeps the spread from growing with the length of the trace.
            base += DriftPerHour * std::sqrt(hours) * standardNormal(m_random) - base * hours / 4;
        }
    }
    const bool isMiddleHalf = m_window > m_options.windows / 4 && m_window <= m_options.windows * 3 / 4;
    for (int index = 0; index < m_options.shape.layers; ++index) {
        auto &layer = m_problem.layers[index];
        std::vector<double> popularities(layer.load.size());
        for (int expert = 0; expert < m_options.shape.experts; ++expert) {
            popularities[expert] = popularity(index, expert);
        }
        const double total = std::accumulate(popularities.begin(), popularities.end(), 0.0);
        for (std::size_t expert = 0; expert < popularities.size(); ++expert) {
            const double mean = popularities[expert] / total * m_options.tokensPerLayer;
            layer.load[expert] = std::max(0.0, mean + std::sqrt(mean) * Burstiness * standardNormal(m_random));
        }
        if (m_options.kind == TraceKind::SlowRank) {
            layer.slowness[SlowRank % layer.slowness.size()] = isMiddleHalf ? SlowFactor : 1;
        }
    }
}

const GroupProblem &LoadTrace::currentProblem() const
{
    return m_problem;
}

std::vector<RankReport> LoadTrace::reports(const ExpertMap &map, std::uint64_t window) const
{
    std::vector<RankReport> reports(m_options.shape.slots.size());
    std::vector<double> busy(reports.size(), 0);
    for (std::size_t rank = 0; rank < reports.size(); ++rank) {
        reports[rank].rank = static_cast<int>(rank);
        reports[rank].window = window;
        reports[rank].map = map.number();
    }
    for (std::size_t layer = 0; layer < map.layers().size(); ++layer) {
        for (const auto &slot : map.layers()[layer]) {
            const double tokens = m_problem.layers[layer].load[slot.expert] * slot.share / ExpertSlot::WholeShare;
            reports[slot.rank].tokens.push_back(static_cast<std::uint32_t>(std::lround(tokens)));
            busy[slot.rank] += tokens * m_problem.layers[layer].slowness[slot.rank];
        }
    }
    for (std::size_t rank = 0; rank < reports.size(); ++rank) {
        reports[rank].busyTime = std::chrono::microseconds(std::llround(busy[rank] * MicrosecondsPerToken));
    }
    return reports;
}

double LoadTrace::popularity(int layer, int expert)
{
    const std::size_t index = static_cast<std::size_t>(layer) * m_options.shape.experts + expert;
    double logPopularity = m_logPopularity[index];
    if (m_options.kind == TraceKind::Season) {
        const double turns = m_window * m_options.windowLength / SeasonPeriod + m_phaseTurns[index];
        logPopularity += SeasonSwing * std::sin(2 * std::numbers::pi * turns);
    }
    const bool isHotPhase = m_window > m_options.windows / 3 && m_window <= m_options.windows * 2 / 3;
    if (m_options.kind == TraceKind::HotExpert && isHotPhase && expert < HotExperts) {
        logPopularity += std::log(HotFactor);
    }
    return std::exp(logPopularity);
}

} // namespace Heatherridge
