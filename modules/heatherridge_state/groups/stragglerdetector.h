#pragma once

#include "heatherridge_state/groups/popularityestimator.h"

#include <vector>

namespace Heatherridge
{

/**
 * Distinguishes slow ranks from ranks with hot experts.
 *
 * Load pattern: one rank takes longer than the others. With hot experts it also has more tokens, so its time per token
 * is normal; a straggler (thermal limit, bad link, noisy neighbour) takes longer for each token. Without the
 * distinction, a hot expert would be moved off a healthy rank, or a straggler would keep its work. The criterion is the
 * time per token relative to the median of the ranks in the same window, since a few slow ranks do not affect the
 * median.
 *
 * Single-threaded.
 */
class StragglerDetector
{
public:
    /** Weight of a new window in the average, which spans about 4 windows: a straggler is detected within a minute, and
     * a short stall is not. */
    static constexpr double SmoothingFactor = 0.2;
    /** Time per token relative to the median above which a rank becomes a straggler; beyond the spread of equal
     * machines. */
    static constexpr double EnterSlowness = 1.15;
    /** Threshold below which a rank is no longer a straggler; the gap (hysteresis) prevents toggling. */
    static constexpr double ExitSlowness = 1.07;
    /** Consecutive windows above EnterSlowness before a rank counts as a straggler: a single long pause is no reason to
     * move work. */
    static constexpr int WindowsToEnter = 4;
    /** Step to which the reported slowness is rounded: with finer steps the placement would follow noise. */
    static constexpr double SlownessStep = 0.05;

    /** Starts with @p ranks healthy ranks. */
    explicit StragglerDetector(int ranks);

    /** Adds all reports of one window; ranks without a report keep their state. */
    void addWindow(const std::vector<RankReport> &reports);

    /** Returns the time per token relative to a healthy rank; 1 unless the rank is a straggler. */
    double slowness(int rank) const;

    /** Returns whether @p rank is currently a straggler. */
    bool isStraggler(int rank) const;

private:
    struct RankTrack
    {
        double average = 1;
        int windowsAbove = 0;
        bool straggler = false;
    };

    std::vector<RankTrack> m_tracks;
};

} // namespace Heatherridge
