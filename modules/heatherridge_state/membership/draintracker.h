#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** Why a process accepts no new work. */
enum class DrainCause : std::uint8_t {
    PlannedStop, ///< set by a rule; ends when the rule is removed
    Withdrawal, ///< set by the inventory or a leaving host; ends when it is revoked
    Signal, ///< SIGTERM; never ends
};

/** Returns the stable name of @p cause. */
std::string_view toString(DrainCause cause);

/** Phase of a drain. */
enum class DrainPhase : std::uint8_t {
    Accepting, ///< new work is accepted
    Draining, ///< no new work is accepted; some requests are still running
    Drained, ///< no request is running
};

/** A request that is being executed. */
struct RunningRequest
{
    RequestId id{};
    SteadyTime since{};
};

/**
 * Tracks a graceful shutdown: the active causes, and the running requests with their start times.
 *
 * It never aborts a request; the owner decides what to do when a drain takes too long. A drain caused by the
 * configuration ends when the configuration changes back, so that revoking a withdrawal returns the target to service
 * without a restart. Must be used from one thread.
 */
class DrainTracker
{
public:
    /** Activates or clears @p cause; DrainCause::Signal can't be cleared. */
    void setCause(DrainCause cause, bool isActive, SteadyTime now);

    /** Records that request @p id has started. */
    void recordStart(const RequestId &id, SteadyTime now);

    /** Records that request @p id has ended, with any result. */
    void recordEnd(const RequestId &id);

    /** Returns whether new work is accepted. */
    bool acceptsNewWork() const;

    /** Returns the phase of the drain. */
    DrainPhase phase() const;

    /** Returns the active cause with the highest precedence: signal, then withdrawal, then planned stop. */
    std::optional<DrainCause> cause() const;

    /** Returns when the drain began, or std::nullopt if no cause is active. */
    std::optional<SteadyTime> drainingSince() const;

    /** Returns up to @p maxCount running requests, oldest first. */
    std::vector<RunningRequest> runningRequests(std::size_t maxCount) const;

    /** Returns the number of running requests. */
    std::size_t runningCount() const;

private:
    std::map<DrainCause, SteadyTime> m_causes;
    std::map<RequestId, SteadyTime> m_running;
};

} // namespace Heatherridge
