#pragma once

#include "heatherridge_state/decisions/crashsuspects.h"
#include "heatherridge_transport/app/metrics.h"

#include <functional>
#include <set>
#include <vector>

namespace Heatherridge
{

/**
 * What a gateway does about requests that end the targets which run them: takes what it and the other gateways see,
 * tells what it sees, logs and counts. On the traffic thread alone.
 */
class CrashGuard
{
public:
    struct Events
    {
        /** To be told to the other gateways. */
        std::function<void(const CrashReport &)> reportCreated{};
        /** @p request is not to be sent to targets any more. */
        std::function<void(const RequestFingerprint &request)> requestBlocked{};
    };

    /** @p metrics must outlive it. */
    CrashGuard(Events events, Metrics &metrics);

    /** Whether nothing is suspected of any request, so that no fingerprint need be worked out. */
    bool isIdle() const;

    /** @see CrashSuspects::isSuspect */
    bool isSuspect(const RequestFingerprint &request) const;

    /** @see CrashSuspects::isBlocked */
    bool isBlocked(const RequestFingerprint &request) const;

    /** @p target has died under @p request, which came as @p id. */
    void recordTargetDeath(const RequestId &id, const RequestFingerprint &request, const TargetName &target);

    /** A target has run the suspect @p request to an answer. */
    void recordAnswer(const RequestFingerprint &request);

    /** The blocked @p request has come again and was refused. */
    void recordRefusal(const RequestFingerprint &request);

    /** What gateways, this one among them, have told. */
    void applyReports(const std::vector<CrashReport> &reports);

    /** Targets that have suspects of this gateway. */
    SuspectTargets &suspectPlaces();

    /** Forgets what is old. Called about once a second. */
    void tick(SteadyTime now);

private:
    void apply(const CrashReport &report);
    void publish(const CrashReport &report);

    Events m_events;
    Counter &m_targetDeaths;
    Counter &m_blockedRequests;
    CrashSuspects m_suspects;
    SuspectTargets m_suspectPlaces;
};

} // namespace Heatherridge
