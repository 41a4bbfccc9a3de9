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
    , m_deaths(metrics.counter("heatherridge_deaths_under_requests_total"))
    , m_blocked(metrics.counter("heatherridge_requests_blocked_total"))
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

void CrashGuard::targetDied(const RequestId &id, const RequestFingerprint &request, const TargetName &target)
{
    m_deaths.add();
    logEvent(Severity::Warning, "target-died",
             {{"request", id.text()}, {"fingerprint", toString(request)}, {"target", target.text()}});
    const CrashReport report{.kind = CrashReport::Kind::TargetDied, .request = request, .target = target};
    take(report);
    tell(report);
}

void CrashGuard::answered(const RequestFingerprint &request)
{
    const CrashReport report{.kind = CrashReport::Kind::Answered, .request = request};
    take(report);
    tell(report);
}

void CrashGuard::refused(const RequestFingerprint &request)
{
    if (const auto again = m_suspects.recordRefusal(request, now())) {
        tell(*again);
    }
}

void CrashGuard::learn(const std::vector<CrashReport> &reports)
{
    for (const auto &report : reports) {
        take(report);
    }
}

SuspectTargets &CrashGuard::places()
{
    return m_places;
}

void CrashGuard::tick(SteadyTime now)
{
    m_suspects.evictExpired(now);
}

void CrashGuard::take(const CrashReport &report)
{
    if (!m_suspects.record(report, now())) {
        return;
    }
    m_blocked.add();
    logEvent(Severity::Warning, "request-blocked",
             {{"fingerprint", toString(report.request)}, {"target", report.target.text()}});
    m_events.blocked(report.request);
}

void CrashGuard::tell(const CrashReport &report)
{
    m_events.report(report);
}

} // namespace Heatherridge
