#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetratelimit.h"
#include "heatherridge_state/decisions/targetstatement.h"
#include "heatherridge_state/decisions/warmuplimit.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/** What one entry may use of the limits of one target. */
struct AdmissionShare
{
    double rateLimit = 0; ///< share of the rate limit that the target sets, 0 to 1
    /** Requests in WarmUpLimit::Window while the target warms up; nothing if its service sets no limit for that. */
    std::optional<int> warmUpRequests{};
};

/**
 * Whether one target accepts requests from this entry, according to its own statements.
 *
 * Load pattern: an overloaded target refuses requests and asks entries to back off, but looks idle and therefore
 * attracts the requests of all callers; a target that shuts down answers faster the fewer requests it has left. Each
 * statement holds on its own: a short back-off does not end a longer one, and no answer takes back that the target is
 * draining. Single-threaded.
 */
class TargetAdmission
{
public:
    /** Longer back-offs are shortened to this, so that a wrong value does not exclude a target for good. */
    static constexpr std::chrono::minutes MaxBackoff{5};
    /** How long a target counts as draining after it last said so; afterwards only the register decides. */
    static constexpr std::chrono::minutes DrainingRetention{5};

    /**
     * Applies a statement that arrived at @p now.
     * @param share of this entry in the target's limit, 0 to 1
     * @returns whether it changes anything
     */
    bool apply(const TargetStatement &statement, double share, SteadyTime now, RandomSource &random);

    /** Returns whether the target is shutting down. */
    bool isDraining(SteadyTime now) const;

    /** Returns the time until the limits and the back-off allow a request: 0 when it may be sent now. */
    std::chrono::milliseconds timeUntilAllowed(const AdmissionShare &share, SteadyTime now) const;

    /** Returns whether the target is warming up, as far as known. */
    bool isWarmingUp(SteadyTime now) const;

    /** Records that the target is cold for @p remaining. */
    void startWarmUp(std::chrono::milliseconds remaining, SteadyTime now);

    /** Records that the target may have ended and may return cold at any time. */
    void expectRestart();

    /** @see WarmUpLimit::recordHeartbeat */
    bool recordHeartbeat(std::uint64_t revision);

    /** @see WarmUpLimit::awaitsRestart */
    bool awaitsRestart() const;

    /** Called when the target answers. @p warmUpTime is how long a target of its service is cold after its start. */
    void recordAnswer(std::chrono::milliseconds warmUpTime, SteadyTime now);

    /** Records that a request is sent. */
    void recordSent(SteadyTime now);

    /** Returns whether no statement is in force. */
    bool isIdle(SteadyTime now) const;

private:
    TargetRateLimit m_limit;
    WarmUpLimit m_warmUp;
    SteadyTime m_backoffUntil{};
    SteadyTime m_drainingUntil{};
};

} // namespace Heatherridge
