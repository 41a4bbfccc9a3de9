#pragma once

#include "heatherridge_state/decisions/promptpartrecord.h"
#include "heatherridge_state/keys/requestfingerprint.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/direct/crashguard.h"
#include "heatherridge_transport/direct/promptpartguard.h"
#include "heatherridge_transport/direct/targetprobe.h"

#include <deque>
#include <functional>
#include <vector>

namespace Heatherridge
{

/** An exchange with a target that broke off after the request may have arrived. */
struct BrokenAttempt
{
    RequestId request{};
    RequestFingerprint fingerprint{};
    TargetName target{};
    std::vector<PromptPart> promptParts{}; ///< without the last one, which belongs to the request alone
    bool hasBegun = false; ///< bytes of the body of an answer had arrived
    std::uint32_t events = 0; ///< complete events received in this attempt
    SteadyTime sentAt{};
    bool isSuspect = false; ///< a target has died under the request before
};

/**
 * Finds out whether a target that broke an exchange off has died, logs and counts it, and reports deaths to the guards.
 *
 * Used on the traffic thread only.
 */
class BrokenAttempts
{
public:
    using Done = std::function<void()>;

    /** What learns of deaths. */
    struct Listeners
    {
        CrashGuard &crashes;
        PromptPartGuard &parts;
        std::function<void(const TargetName &target)> targetDied{};
    };

    /** @p probe, the guards and @p metrics must outlive this object. */
    BrokenAttempts(TargetProbe &probe, Listeners listeners, Metrics &metrics);

    /** Probes @p target, which broke @p attempt off, and calls @p done later, once a death has been reported. */
    void inspect(BrokenAttempt attempt, const TargetEntry &target, Done done);

    /**
     * Returns whether @p attempt, if its target died, may block the request, so that the next attempt must wait for the
     * result.
     */
    static bool mayBlock(const BrokenAttempt &attempt);

private:
    /** A dead target and the prompt parts of a request that it had. */
    struct Death
    {
        TargetName target{};
        std::vector<PromptPart> promptParts{};
    };

    /** Deaths whose prompt parts are compared with those of the next one: a few for each engine of a large group. */
    static constexpr std::size_t MaxRecentDeaths = 128;

    void record(const BrokenAttempt &attempt, ProbeResult result);
    void recordDeath(const BrokenAttempt &attempt);
    std::vector<PromptPart> partsInEarlierDeaths(const BrokenAttempt &attempt) const;

    TargetProbe &m_probe;
    Listeners m_listeners;
    Metrics &m_metrics;
    Counter &m_deathsSharingParts;
    std::deque<Death> m_recentDeaths;
};

} // namespace Heatherridge
