#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <set>

namespace Heatherridge
{

/** The partitions of the platform's log that this process owns, as last confirmed by the log. */
struct OwnedPartitions
{
    std::set<int> partitions{};
    int partitionCount = 0; ///< of all processes together
    SteadyTime validUntil{}; ///< no other process owns them before this time
    std::chrono::milliseconds lease{0}; ///< an earlier owner may use a partition for this long after its loss

    bool operator==(const OwnedPartitions &) const = default;
};

} // namespace Heatherridge
