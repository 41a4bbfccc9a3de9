#include "heatherridge_transport/direct/crashsuspicion.h"

namespace Heatherridge
{

CrashSuspicion::CrashSuspicion(CrashGuard &guard, Request request)
    : m_guard(guard)
    , m_request(request)
{
}

const RequestFingerprint &CrashSuspicion::fingerprint()
{
    if (!m_fingerprint) {
        const auto url = std::string(m_request.http.header("Host")) + m_request.http.target;
        m_fingerprint = fingerprintOf(m_request.workspace, m_request.http.method, url, m_request.http.body);
    }
    return *m_fingerprint;
}

BrokenAttempt CrashSuspicion::brokenAttempt(const TargetName &target, bool hasBegun, int events)
{
    return {.request = m_request.fields.id,
            .fingerprint = fingerprint(),
            .target = target,
            .promptParts = promptPartIdsOf(m_request.service, m_request.fields.promptParts),
            .hasBegun = hasBegun,
            .events = events};
}

bool CrashSuspicion::isSuspect()
{
    return !m_guard.isIdle() && m_guard.isSuspect(fingerprint());
}

bool CrashSuspicion::isBlocked()
{
    return !m_guard.isIdle() && m_guard.isBlocked(fingerprint());
}

void CrashSuspicion::markAt(const TargetName &target)
{
    if (isSuspect()) {
        m_suspectTarget = target;
        m_guard.suspectTargets().add(target);
    }
}

void CrashSuspicion::unmark()
{
    if (!m_suspectTarget) {
        return;
    }
    m_guard.suspectTargets().remove(*m_suspectTarget);
    m_suspectTarget.reset();
}

void CrashSuspicion::recordAnswer()
{
    if (isSuspect()) {
        m_guard.recordAnswer(fingerprint());
    }
}

} // namespace Heatherridge
