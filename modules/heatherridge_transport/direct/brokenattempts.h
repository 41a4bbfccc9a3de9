#pragma once

#include "heatherridge_state/keys/promptpartid.h"
#include "heatherridge_state/keys/requestfingerprint.h"
#include "heatherridge_transport/app/metrics.h"
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
    std::vector<PromptPartId> promptParts{}; ///< without the last one, which belongs to the request alone
    bool hasBegun = false; ///< bytes of the body of an answer had arrived
    int events = 0; ///< complete events received in this attempt
};

/**
 * Finds out whether a target that broke an exchange off has died, and logs and counts it.
 *
 * Used on the traffic thread only.
 */
class BrokenAttempts
{
public:
    using Done = std::function<void(ProbeResult)>;

    /** @p probe and @p metrics must outlive this object. */
    BrokenAttempts(TargetProbe &probe, Metrics &metrics);

    /** Probes @p target, which broke @p attempt off, and calls @p done with the result later. */
    void inspect(BrokenAttempt attempt, const TargetEntry &target, Done done);

private:
    /** A dead target and the prompt parts of a request that it had. */
    struct Death
    {
        TargetName target{};
        std::vector<PromptPartId> promptParts{};
    };

    /** Deaths whose prompt parts are compared with those of the next one: a few for each engine of a large group. */
    static constexpr std::size_t MaxRecentDeaths = 128;

    void record(const BrokenAttempt &attempt, ProbeResult result);
    void recordDeath(const BrokenAttempt &attempt);
    std::vector<PromptPartId> partsInEarlierDeaths(const BrokenAttempt &attempt) const;

    TargetProbe &m_probe;
    Metrics &m_metrics;
    Counter &m_deathsSharingParts;
    std::deque<Death> m_recentDeaths;
};

} // namespace Heatherridge
