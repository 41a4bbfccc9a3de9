#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/config/inventory.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace Heatherridge
{

/** A target as registered by itself. Value type. */
struct TargetEntry
{
    TargetName id{}; ///< usually identifies this run of the target
    ServiceName service{};
    Endpoint address{};
    ZoneName zone{};
    int slots = 1; ///< number of requests that it executes concurrently
    bool isDraining = false; ///< whether it accepts no new requests
    /** How much longer it is slow after its start; nothing if it does not say. */
    std::optional<std::chrono::milliseconds> remainingWarmUp{std::chrono::milliseconds(0)};
    std::chrono::sys_time<std::chrono::milliseconds> startedAt{}; ///< of this run by its own clock; zero: unknown

    bool operator==(const TargetEntry &) const = default;
};

/** A target's entry as stored in the register. */
struct TargetRecord
{
    TargetEntry entry{};
    std::uint64_t revision = 0; ///< increases each time this run writes the entry
};

/** Sign of life of a target: a run of it has written its entry. */
struct TargetHeartbeat
{
    TargetName id{};
    std::chrono::sys_time<std::chrono::milliseconds> startedAt{}; ///< of the run
    std::uint64_t revision = 0; ///< of the entry; increases with each heartbeat of the run
};

} // namespace Heatherridge
