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

CrashGuard::CrashGuard(Events events, Metrics &metrics)
    : m_events(std::move(events))
    , m_targetDeaths(metrics.counter("heatherridge_deaths_under_requests_total"))
    , m_blockedRequests(metrics.counter("heatherridge_requests_blocked_total"))
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

void CrashGuard::recordTargetDeath(const RequestFingerprint &request, const TargetName &target)
{
    m_targetDeaths.add();
    const CrashReport report{.kind = CrashReport::Kind::TargetDied, .request = request, .target = target};
    apply(report);
    publish(report);
}

void CrashGuard::recordAnswer(const RequestFingerprint &request)
{
    const CrashReport report{.kind = CrashReport::Kind::Answered, .request = request};
    apply(report);
    publish(report);
}

void CrashGuard::recordRefusal(const RequestFingerprint &request)
{
    for (const auto &report : m_suspects.recordRefusal(request, now())) {
        publish(report);
    }
}

void CrashGuard::applyReports(const std::vector<CrashReport> &reports)
{
    for (const auto &report : reports) {
        apply(report);
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

void CrashGuard::apply(const CrashReport &report)
{
    if (!m_suspects.record(report, now())) {
        return;
    }
    m_blockedRequests.add();
    logEvent(Severity::Warning, "request-blocked",
             {{"fingerprint", toString(report.request)}, {"target", report.target.text()}});
    m_events.requestBlocked(report.request);
}

void CrashGuard::publish(const CrashReport &report)
{
    m_events.reportCreated(report);
}

} // namespace Heatherridge
