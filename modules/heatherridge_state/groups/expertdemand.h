#pragma once

#include "heatherridge_state/groups/expertlayout.h"

#include <cstdint>
#include <vector>

namespace Heatherridge
{

/**
 * What the experts of a group are asked for, from how often they were chosen in successive windows.
 *
 * Pattern of load: what is liked stands still for a few seconds, with the noise of which requests happen to run, and
 * then jumps. An average that reaches back over a jump gives a layout for a demand that is gone, worse than the one it
 * replaces; a single window gives one for the requests of that second. So windows are averaged, and a window that is
 * further from the average than noise takes it gets the whole weight. One thread.
 */
class ExpertDemand
{
public:
    /** Part of a new window in the average when nothing has jumped: the last three windows have most of the weight. */
    static constexpr double SmoothingFactor = 0.4;
    /** Half the sum of absolute differences of two distributions. Windows of about a second differ by 0.05 to 0.12 from
     * which requests happen to run; a jump moves a fifth and more. */
    static constexpr double JumpDistance = 0.18;

    ExpertDemand(int sets, int experts);

    /** Takes how often each expert was chosen, set by set, in one window. Windows without any choice change nothing. */
    void addWindow(const std::vector<double> &selectionCounts);

    /** The demand by set; empty before the first window. */
    const std::vector<SetDemand> &bySet() const;

    /** How far the last window was from the average before it, 0 to 1. */
    double lastDistance() const;

    /** Whether the last window was taken for a jump. */
    bool jumped() const;

private:
    int m_experts;
    int m_sets;
    std::vector<SetDemand> m_average;
    double m_lastDistance = 0;
    bool m_jumped = false;
};

} // namespace Heatherridge
