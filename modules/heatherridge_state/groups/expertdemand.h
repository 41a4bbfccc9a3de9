#pragma once

#include "heatherridge_state/groups/expertlayout.h"

#include <cstdint>
#include <vector>

namespace Heatherridge
{

/**
 * Estimates the demand for the experts of a group from their selection counts in successive windows.
 *
 * Load pattern: popularity is stable for a few seconds, apart from noise caused by the mix of running requests, and
 * then jumps. An average that extends past a jump yields a layout for outdated demand, worse than the one it replaces;
 * a single window yields a layout for the requests of that second. Therefore windows are averaged, and a window that
 * differs from the average by more than noise replaces it. Single-threaded.
 */
class ExpertDemand
{
public:
    /** Weight of a new window in the average when there is no jump: the last three windows carry most of the weight. */
    static constexpr double SmoothingFactor = 0.4;
    /** Total variation distance (half the sum of absolute differences) above which a window counts as a jump. Windows
     * of about a second differ by 0.05 to 0.12 due to the mix of running requests; a jump moves a fifth or more. */
    static constexpr double JumpDistance = 0.18;

    ExpertDemand(int sets, int experts);

    /** Adds the selection counts of one window, ordered by layer set, then expert. Ignores windows in which a set has
     * no selections or whose size does not match. */
    void addWindow(const std::vector<double> &selectionCounts);

    /** Returns the demand by layer set; empty before the first window. */
    const std::vector<SetDemand> &bySet() const;

    /** Returns the distance of the last window from the preceding average, 0 to 1. */
    double lastDistance() const;

    /** Returns whether the last window was treated as a jump. */
    bool jumped() const;

private:
    int m_experts;
    int m_sets;
    std::vector<SetDemand> m_average;
    double m_lastDistance = 0;
    bool m_jumped = false;
};

} // namespace Heatherridge
