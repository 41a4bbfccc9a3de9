#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Heatherridge
{

/**
 * How long slow start applies after a group has opened: by then the first streams have ended, and reports include the
 * load of all entries.
 */
constexpr std::chrono::milliseconds SlowStartDuration{2'000};

/**
 * Returns how many streams one entry may send an engine between two load reports while its group is in slow start: its
 * share of the capacity that the last report left, and at least one.
 *
 * Load pattern: after a power loss all entries hold waiting streams and see engines without load.
 *
 * @param capacity slots that may be filled
 * @param reportedLoad requests of all entries at the engine, according to its last report
 * @param share of this entry in all work, 0 to 1
 */
inline int slowStartAllowance(double capacity, int reportedLoad, double share)
{
    const double allowance = (capacity - reportedLoad) * share;
    return std::max(1, static_cast<int>(std::ceil(allowance)));
}

} // namespace Heatherridge
