#include "heatherridge_transport/direct/crashsuspicion.h"

namespace Heatherridge
{

CrashSuspicion::CrashSuspicion(CrashGuard &guard, const HttpRequest &request, const WorkspaceName &workspace)
    : m_guard(guard)
    , m_request(request)
    , m_workspace(workspace)
{
}

const RequestFingerprint &CrashSuspicion::fingerprint()
{
    if (!m_fingerprint) {
        const auto url = std::string(m_request.header("Host")) + m_request.target;
        m_fingerprint = fingerprintOf(m_workspace, m_request.method, url, m_request.body);
    }
    return *m_fingerprint;
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
