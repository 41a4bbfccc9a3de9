#pragma once

#include "heatherridge_state/groups/expertmap.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace Heatherridge
{

/** What one rank measured in one window. Arrives late, twice or never. */
struct RankReport
{
    int rank = 0;
    std::uint64_t window = 0; ///< number of the measuring window, the same on all ranks
    MapNumber map{}; ///< the map in force throughout the window; windows with a switch are not reported
    std::vector<std::uint32_t> tokens{}; ///< by slot of the rank, layer by layer, in the order of the map
    std::chrono::microseconds busyTime{}; ///< time spent in expert layers, waiting not counted

    bool operator==(const RankReport &) const = default;
};

/** An estimate with its spread. */
struct Popularity
{
    double fraction = 0; ///< of the layer's tokens
    double standardError = 0; ///< standard error of `fraction`
};

/**
 * Estimates how the tokens of each layer divide among its experts, from reports that lag and go missing.
 *
 * Pattern of load: popularity drifts over hours, sometimes fast, sometimes hardly, jumps now and then, and every window
 * carries sampling noise. With one fixed memory a placement chases noise in calm hours and lags behind in moving ones.
 * So each expert has averages of several memories, and the memory that foretold the last windows best, over all experts
 * together, is used. When a single expert's fastest average leaves the one in use by more than noise explains, all its
 * averages jump there. A missing replica's tokens are inferred from its siblings' through their shares; an expert that
 * nobody reported keeps its estimate.
 *
 * One thread. See StragglerDetector for the other half of a report.
 */
class PopularityEstimator
{
public:
    /** Part of a new window in each average, fastest first. With 10 s windows they remember about half a minute, a
     * minute and a half, and five minutes; noise is cut to a half, a quarter and an eighth of one window's. */
    static constexpr std::array<double, 3> SmoothingFactors{0.4, 0.12, 0.03};
    /** A memory replaces the one in use when its squared errors are lower by this part, so that near-equals don't
     * alternate. */
    static constexpr double SwitchMargin = 0.03;
    /** Standard errors between the averages that count as a jump. Among 60 x 64 experts, noise passes 5 less than once
     * in 400 windows, and then the only harm is a noisier estimate of one expert. */
    static constexpr double JumpStandardErrors = 5;
    /** Least part of an expert's shares that must have reported to infer the rest: below a quarter the inferred value
     * is noisier than the old estimate. */
    static constexpr double MinReportedShare = 0.25;
    /** Windows kept open for late reports; older ones are closed with what has arrived. */
    static constexpr std::uint64_t OpenWindows = 3;

    /** Starts with all experts of @p shape equally popular. */
    explicit PopularityEstimator(const GroupShape &shape);

    /**
     * Takes one report. Doubled ones and those for closed windows are dropped and counted.
     * @param map the map that the report's number names; a report whose tokens don't fit it is dropped
     */
    void addReport(const RankReport &report, const ExpertMap &map);

    /** Closes all windows that are more than OpenWindows older than @p newest and takes them into the estimate. */
    void closeWindows(std::uint64_t newest);

    /** The estimate for one expert. */
    Popularity popularity(int layer, int expert) const;

    /** The parts of all experts of @p layer; they add up to 1. */
    std::vector<double> fractions(int layer) const;

    /** Standard error of a typical rank's load relative to the mean rank's load. */
    double relativeError() const;

    /** Reports dropped as late, doubled or not fitting their map. */
    std::uint64_t droppedReportCount() const;

    /** How often an estimate jumped to the fastest average. */
    std::uint64_t jumpCount() const;

    /** The part of a new window in the averages in use. */
    double activeSmoothingFactor() const;

private:
    struct ExpertTrack
    {
        std::array<double, SmoothingFactors.size()> averages{};
        double variance = 0; ///< of one window's value against the average in use
    };

    struct ExpertSum
    {
        double tokens = 0;
        double share = 0;
    };

    struct Window
    {
        std::vector<bool> reported{};
        std::vector<ExpertSum> sums{};
    };

    void close(const Window &window);
    void closeLayer(const Window &window, int layer, std::array<double, SmoothingFactors.size()> &errors);
    void update(ExpertTrack &track, double fraction, std::array<double, SmoothingFactors.size()> &errors);
    void chooseAverage(const std::array<double, SmoothingFactors.size()> &errors);
    /** Variance of the averages in use relative to one window's. */
    double activeVarianceFactor() const;
    bool isWarmedUp() const;

    GroupShape m_shape;
    std::vector<ExpertTrack> m_tracks; ///< layer by layer
    std::map<std::uint64_t, Window> m_openWindows;
    std::array<double, SmoothingFactors.size()> m_squaredErrors{}; ///< of each memory's forecasts, over all experts
    std::size_t m_activeAverage = SmoothingFactors.size() - 1;
    std::uint64_t m_firstOpenWindow = 0;
    std::uint64_t m_closedWindows = 0;
    std::uint64_t m_droppedReports = 0;
    std::uint64_t m_jumpCount = 0;
};

} // namespace Heatherridge
