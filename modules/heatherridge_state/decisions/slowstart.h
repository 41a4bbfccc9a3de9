#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Heatherridge
{

/** How long a group counts as just opened: by then the first streams have ended, and reports show the loads of all. */
constexpr std::chrono::milliseconds SlowStartDuration{2'000};

/**
 * How many streams one entry may send an engine between two reports of its load, while its group has just opened: its
 * share of the room that the last report left, and at least one.
 *
 * Load pattern: after a loss of power all entries hold waiting streams and see engines without any load.
 *
 * @param places that may be filled
 * @param reportedLoad requests of all entries at the engine, by its last report
 * @param share of this entry in all work, 0 to 1
 */
inline int slowStartAllowance(double capacity, int reportedLoad, double share)
{
    const double allowance = (capacity - reportedLoad) * share;
    return std::max(1, static_cast<int>(std::ceil(allowance)));
}

} // namespace Heatherridge
