#pragma once

#include "heatherridge_state/groups/expertmap.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace Heatherridge
{

/** Measurements of one rank in one window. May arrive late, twice or never. */
struct RankReport
{
    int rank = 0;
    std::uint64_t window = 0; ///< number of the measuring window, the same on all ranks
    MapNumber map{}; ///< the map active during the whole window; windows with a switch are not reported
    std::vector<std::uint32_t> tokens{}; ///< by slot of the rank, layer by layer, in the order of the map
    std::chrono::microseconds busyTime{}; ///< time spent in expert layers, excluding waiting

    bool operator==(const RankReport &) const = default;
};

/** Estimated popularity of an expert and its uncertainty. */
struct Popularity
{
    double fraction = 0; ///< fraction of the layer's tokens
    double standardError = 0; ///< standard error of `fraction`
};

/**
 * Estimates how the tokens of each layer are distributed over its experts, from reports that may be late or missing.
 *
 * Load pattern: popularity drifts over hours, at times fast, at times hardly, jumps occasionally, and every window has
 * sampling noise. With a single fixed smoothing factor, a placement would follow noise in calm periods and lag behind
 * during drift. Therefore each expert has moving averages with several smoothing factors, and the factor that predicted
 * the last windows best, over all experts together, is used. When the fastest average of an expert deviates from the
 * active one by more than noise explains, all its averages are set to the fastest one. The tokens of a missing replica
 * are inferred from those of the expert's other replicas through their shares; an expert without any report keeps its
 * estimate.
 *
 * Single-threaded. StragglerDetector uses the busy time of the reports.
 */
class PopularityEstimator
{
public:
    /** Weight of a new window in each average, fastest first. With 10 s windows the averages span about half a minute,
     * a minute and a half, and five minutes; they reduce the noise of one window to a half, a quarter and an eighth. */
    static constexpr std::array<double, 3> SmoothingFactors{0.4, 0.12, 0.03};
    /** An average replaces the active one when its squared errors are lower by this fraction, so that nearly equal ones
     * do not alternate. */
    static constexpr double SwitchMargin = 0.03;
    /** Distance between the averages, in standard errors, that counts as a jump. With 60 x 64 experts, noise exceeds 5
     * less than once in 400 windows, and the only effect is a noisier estimate of one expert. */
    static constexpr double JumpStandardErrors = 5;
    /** Minimum fraction of an expert's shares that must be reported to infer the rest: below a quarter, the inferred
     * value is noisier than the previous estimate. */
    static constexpr double MinReportedShare = 0.25;
    /** Number of windows kept open for late reports; older ones are closed with the reports received. */
    static constexpr std::uint64_t OpenWindows = 3;

    /** Starts with equal popularity for all experts of @p shape. */
    explicit PopularityEstimator(const GroupShape &shape);

    /**
     * Adds a report. Duplicates and reports for closed windows are dropped and counted.
     * @param map the map with the number given in the report; a report that does not match it is dropped and counted
     */
    void addReport(const RankReport &report, const ExpertMap &map);

    /** Closes all windows that are more than OpenWindows older than @p newest and includes them in the estimate. */
    void closeWindows(std::uint64_t newest);

    /** Returns the estimate for one expert. */
    Popularity popularity(int layer, int expert) const;

    /** Returns the fractions of all experts of @p layer; they add up to 1. */
    std::vector<double> fractions(int layer) const;

    /** Returns the standard error of a typical rank's load, relative to the mean load of a rank. */
    double relativeError() const;

    /** Returns the number of reports dropped because they were late, duplicate or did not match their map. */
    std::uint64_t droppedReportCount() const;

    /** Returns how often an estimate was set to its fastest average. */
    std::uint64_t jumpCount() const;

    /** Returns the weight of a new window in the active averages. */
    double activeSmoothingFactor() const;

private:
    struct ExpertTrack
    {
        std::array<double, SmoothingFactors.size()> averages{};
        double variance = 0; ///< variance of one window's value about the active average
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
    /** Returns the variance of the active averages relative to that of one window. */
    double activeVarianceFactor() const;
    bool isWarmedUp() const;

    GroupShape m_shape;
    std::vector<ExpertTrack> m_tracks; ///< layer by layer
    std::map<std::uint64_t, Window> m_openWindows;
    std::array<double, SmoothingFactors.size()>
        m_squaredErrors{}; ///< prediction errors of each average, over all experts
    std::size_t m_activeAverage = SmoothingFactors.size() - 1;
    std::uint64_t m_firstOpenWindow = 0;
    std::uint64_t m_closedWindows = 0;
    std::uint64_t m_droppedReports = 0;
    std::uint64_t m_jumpCount = 0;
};

} // namespace Heatherridge
