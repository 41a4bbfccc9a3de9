#pragma once

#include "heatherridge_state/groups/popularityestimator.h"

#include <vector>

namespace Heatherridge
{

/**
 * Tells a slow rank from one with hot experts.
 *
 * Pattern of load: one rank takes longer than the others. With hot experts it also has more tokens, so its time a token
 * is ordinary; a straggler (thermal limit, bad link, noisy neighbour) takes longer for each token. Without the
 * distinction a hot expert would move off a healthy rank, or a straggler would keep its work. What counts is time a
 * token relative to the median of the ranks in the same window, since the median doesn't follow a few slow ranks.
 *
 * One thread.
 */
class StragglerDetector
{
public:
    /** Part of a new window in the average: about 4 windows, so a straggler shows within a minute and a short stall
     * doesn't. */
    static constexpr double SmoothingFactor = 0.2;
    /** Time a token relative to the median from which a rank is a straggler: above the spread of equal machines. */
    static constexpr double EnterSlowness = 1.15;
    /** Below this it no longer is; the gap keeps a rank near the line from toggling. */
    static constexpr double ExitSlowness = 1.07;
    /** Windows in a row above EnterSlowness before it counts: one long pause of a rank is no reason to move work. */
    static constexpr int WindowsToEnter = 4;
    /** Steps in which slowness is told to the placement: finer ones would make it follow noise. */
    static constexpr double SlownessStep = 0.05;

    /** Starts with @p ranks healthy ranks. */
    explicit StragglerDetector(int ranks);

    /** Takes all reports of one window; ranks without one keep their state. */
    void addWindow(const std::vector<RankReport> &reports);

    /** Time for one token relative to a healthy rank: 1 unless the rank is a straggler. */
    double slowness(int rank) const;

    /** Whether @p rank is a straggler at present. */
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
