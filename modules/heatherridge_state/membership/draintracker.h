#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** Why a process takes no new work. */
enum class DrainCause : std::uint8_t {
    PlannedStop, ///< a rule; ends when the rule is taken back
    Withdrawal, ///< the inventory, or a leaving mark; ends when it is taken back
    Signal, ///< SIGTERM; does not end
};

/** The stable name of @p cause. */
std::string_view toString(DrainCause cause);

/** Where a drain stands. */
enum class DrainPhase : std::uint8_t {
    Accepting, ///< new work is taken
    Draining, ///< no new work; some is still running
    Drained, ///< nothing is running
};

/** One piece of running work. */
struct RunningRequest
{
    RequestId id{};
    SteadyTime since{};
};

/**
 * Keeps account of a graceful shutdown: which causes hold, what is still running and since when.
 *
 * Nothing is ever cut by it; the owner decides what to do once a drain has lasted too long. A drain that was caused by
 * the configuration ends with it, so that a withdrawal taken back brings the target back without a restart. One thread.
 */
class DrainTracker
{
public:
    /** Sets or lifts @p cause; DrainCause::Signal is never lifted. */
    void setCause(DrainCause cause, bool isActive, SteadyTime now);

    /** Running work has begun. */
    void recordStart(const RequestId &id, SteadyTime now);

    /** Running work has ended, however. */
    void recordEnd(const RequestId &id);

    /** Whether new work may begin. */
    bool acceptsNewWork() const;

    /** Where the drain stands. */
    DrainPhase phase() const;

    /** The strongest cause that isActive: signal, then withdrawal, then planned stop. */
    std::optional<DrainCause> cause() const;

    /** When the drain began. */
    std::optional<SteadyTime> drainingSince() const;

    /** What is running, the oldest first, at most @p maxCount. */
    std::vector<RunningRequest> runningRequests(std::size_t maxCount) const;

    /** How much is running. */
    std::size_t runningCount() const;

private:
    std::map<DrainCause, SteadyTime> m_causes;
    std::map<RequestId, SteadyTime> m_running;
};

} // namespace Heatherridge
