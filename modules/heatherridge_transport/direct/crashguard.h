#pragma once

#include "heatherridge_state/decisions/crashsuspects.h"
#include "heatherridge_transport/app/metrics.h"

#include <functional>
#include <set>
#include <vector>

namespace Heatherridge
{

/**
 * Protects targets from requests that crash the targets which run them.
 *
 * Collects the crash reports of this gateway and the others, publishes its own, and logs and counts them. Used on the
 * traffic thread only.
 */
class CrashGuard
{
public:
    struct Events
    {
        /** A record to publish to the other gateways; called in the order in which they must be written. */
        std::function<void(const RequestCrashRecord &)> recordCreated{};
        /** @p request must not be sent to targets any more. */
        std::function<void(const RequestFingerprint &request)> requestBlocked{};
    };

    /** @param self this run of the gateway; @p metrics must outlive this object */
    CrashGuard(Incarnation self, Events events, Metrics &metrics);

    /** Returns whether no request is under suspicion, so that no fingerprint needs to be computed. */
    bool isIdle() const;

    /** @see CrashSuspects::isSuspect */
    bool isSuspect(const RequestFingerprint &request) const;

    /** @see CrashSuspects::isBlocked */
    bool isBlocked(const RequestFingerprint &request) const;

    /** @see CrashSuspects::takeTrial */
    bool takeTrial(const RequestFingerprint &request);

    /** Claims a trial of the blocked @p request if one is due. @returns whether the request may wait for it */
    bool claimTrial(const RequestFingerprint &request);

    /** @see CrashSuspects::awaitsClaim */
    bool awaitsClaim(const RequestFingerprint &request) const;

    /** @see CrashSuspects::returnTrial */
    void returnTrial(const RequestFingerprint &request);

    /** @see CrashSuspects::recordTargetDeath */
    void recordTargetDeath(const RequestFingerprint &request, const CrashSuspects::Death &death);

    /** @see CrashSuspects::recordProgress */
    void recordProgress(const RequestFingerprint &request, std::uint32_t events);

    /** Records that a target answered the suspect @p request. */
    void recordAnswer(const RequestFingerprint &request);

    /** Records that the blocked @p request arrived again and was refused. */
    void recordRefusal(const RequestFingerprint &request);

    /** Applies the records of all gateways, including this one, in the order of the log. */
    void applyRecords(const std::vector<RequestCrashRecord> &records);

    /** Returns the targets that hold a suspect request of this gateway and have not sent a body byte for it. */
    SuspectTargets &suspectTargets();

    /** Removes expired suspicions. Called about once a second. */
    void tick(SteadyTime now);

private:
    void handle(const RequestCrashChanges &changes);

    Events m_events;
    Counter &m_targetDeaths;
    Counter &m_blockedRequests;
    Counter &m_releasedRequests;
    Counter &m_trials;
    CrashSuspects m_suspects;
    SuspectTargets m_suspectTargets;
};

} // namespace Heatherridge
