#include "heatherridge_transport/direct/crashguard.h"

#include "heatherridge_transport/app/logger.h"

namespace Heatherridge
{

namespace
{

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

CrashGuard::CrashGuard(Incarnation self, Events events, Metrics &metrics)
    : m_events(std::move(events))
    , m_targetDeaths(metrics.counter("heatherridge_deaths_under_requests_total"))
    , m_blockedRequests(metrics.counter("heatherridge_requests_blocked_total"))
    , m_releasedRequests(metrics.counter("heatherridge_requests_released_total"))
    , m_trials(metrics.counter("heatherridge_request_trials_total"))
    , m_suspects(self)
{
}

bool CrashGuard::isIdle() const
{
    return m_suspects.isEmpty();
}

bool CrashGuard::isSuspect(const RequestFingerprint &request) const
{
    return m_suspects.isSuspect(request);
}

bool CrashGuard::isBlocked(const RequestFingerprint &request) const
{
    return m_suspects.isBlocked(request);
}

bool CrashGuard::takeTrial(const RequestFingerprint &request)
{
    const bool isTrial = m_suspects.takeTrial(request, now());
    if (isTrial) {
        m_trials.add();
        logEvent(Severity::Info, "request-tried", {{"fingerprint", toString(request)}});
    }
    return isTrial;
}

bool CrashGuard::claimTrial(const RequestFingerprint &request)
{
    const auto changes = m_suspects.claimTrial(request, now());
    handle(changes);
    return !changes.toPublish.empty();
}

bool CrashGuard::awaitsClaim(const RequestFingerprint &request) const
{
    return m_suspects.awaitsClaim(request, now());
}

void CrashGuard::returnTrial(const RequestFingerprint &request)
{
    m_suspects.returnTrial(request);
    logEvent(Severity::Info, "request-trial-returned", {{"fingerprint", toString(request)}});
}

void CrashGuard::recordTargetDeath(const RequestFingerprint &request, const CrashSuspects::Death &death)
{
    m_targetDeaths.add();
    handle(m_suspects.recordTargetDeath(request, death, now()));
}

void CrashGuard::recordProgress(const RequestFingerprint &request, std::uint32_t events)
{
    handle(m_suspects.recordProgress(request, events, now()));
}

void CrashGuard::recordAnswer(const RequestFingerprint &request)
{
    handle(m_suspects.recordAnswer(request, now()));
}

void CrashGuard::recordRefusal(const RequestFingerprint &request)
{
    handle(m_suspects.recordRefusal(request, now()));
}

void CrashGuard::applyRecords(const std::vector<RequestCrashRecord> &records)
{
    for (const auto &record : records) {
        handle(m_suspects.apply(record, now()));
    }
}

SuspectTargets &CrashGuard::suspectTargets()
{
    return m_suspectTargets;
}

void CrashGuard::tick(SteadyTime now)
{
    m_suspects.evictExpired(now);
}

void CrashGuard::handle(const RequestCrashChanges &changes)
{
    for (const auto &record : changes.toPublish) {
        m_events.recordCreated(record);
    }
    for (const auto &request : changes.released) {
        m_releasedRequests.add();
        logEvent(Severity::Warning, "request-released", {{"fingerprint", toString(request)}});
    }
    for (const auto &request : changes.blocked) {
        m_blockedRequests.add();
        logEvent(Severity::Warning, "request-blocked", {{"fingerprint", toString(request)}});
        m_events.requestBlocked(request);
    }
}

} // namespace Heatherridge
