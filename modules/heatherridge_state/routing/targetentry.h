#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/config/inventory.h"

#include <chrono>
#include <cstdint>

namespace Heatherridge
{

/** One target as it registered itself. A value. */
struct TargetEntry
{
    TargetName id{}; ///< of this run of the target, mostly
    ServiceName service{};
    Endpoint address{};
    ZoneName zone{};
    int slots = 1; ///< requests that it runs at once
    bool isDraining = false; ///< takes nothing new
    std::chrono::milliseconds remainingWarmUp{0}; ///< how much longer it is slow after its start

    bool operator==(const TargetEntry &) const = default;
};

/** A target's entry as it stands in the register. */
struct TargetRecord
{
    TargetEntry entry{};
    std::chrono::sys_time<std::chrono::milliseconds> startedAt{}; ///< of this run by its own clock; null when not told
    std::uint64_t revision = 0; ///< rises each time that this run writes the entry
};

} // namespace Heatherridge
