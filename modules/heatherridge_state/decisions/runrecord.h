#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** How far a run of a process has come. */
enum class RunState : std::uint8_t {
    Running,
    Stopping, ///< has been told to stop
    Ended, ///< has finished its work in order
};

/** What a process uses of its host, and what the host gives it. 0 where it is not known. */
struct ResourceUse
{
    std::uint64_t peakMemory = 0; ///< largest resident memory so far, in bytes
    std::uint64_t memoryLimit = 0; ///< in bytes
    std::uint64_t descriptors = 0; ///< open ones
    std::uint64_t descriptorLimit = 0;

    bool operator==(const ResourceUse &) const = default;
};

/** Longest RunRecord::lastFailure in bytes. */
constexpr std::size_t MaxFailureReasonBytes = 128;

/** What a process leaves behind about one of its runs. */
struct RunRecord
{
    Incarnation run{};
    WallTime startedAt{};
    RunState state = RunState::Running;
    ResourceUse use{}; ///< when the record was written
    std::uint64_t handlerFailures = 0; ///< handlers that have thrown
    std::string lastFailure{}; ///< reason of the last one, at most MaxFailureReasonBytes
    std::string version{}; ///< of the program

    bool operator==(const RunRecord &) const = default;
};

/** Share of a limit that a process uses, in the steps at which it is recorded. */
enum class UsageLevel : std::uint8_t {
    Ordinary,
    High, ///< 75% of the limit and more
    Critical, ///< 90% of the limit and more
};

/** Returns the level of @p used of @p limit; Ordinary if the limit is 0, that is, unknown. */
UsageLevel usageLevel(std::uint64_t used, std::uint64_t limit);

/** What has probably ended a run. */
enum class EndCause : std::uint8_t {
    Unknown,
    Memory, ///< the process came close to the limit of its memory
    Descriptors, ///< the process came close to the limit of its descriptors
    Failure, ///< a handler had thrown
};

/**
 * Returns the probable cause of the end of a run that did not end in order and left @p record behind: what is critical,
 * else a failure, else what is high. Memory comes before descriptors: the system ends a process for its memory.
 *
 * Load pattern: callers or answers come in numbers that exceed a limit within seconds. The record is older than the end
 * by up to the period between two of them, so that a high level may have been critical at the end. A process that
 * another one kills leaves no trace: Unknown.
 */
EndCause probableCause(const RunRecord &record);

/** Returns the name of @p state for logs. */
std::string_view toString(RunState state);

/** Returns the name of @p cause for logs. */
std::string_view toString(EndCause cause);

} // namespace Heatherridge
