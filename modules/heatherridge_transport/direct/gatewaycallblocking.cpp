#include "heatherridge_state/decisions/blockedattempt.h"
#include "heatherridge_transport/direct/gatewaycall.h"

namespace Heatherridge
{

bool GatewayCall::refuseIfBlocked()
{
    if (!m_suspicion.isBlocked()) {
        return refuseIfStopping();
    }
    if (!m_traffic.m_stop && m_possibleExecutions == 0 && m_suspicion.awaitsTrial()) {
        m_traffic.dequeue(m_number);
        m_isWaiting = true;
        armTimer();
    } else {
        refuseBlocked();
    }
    return true;
}

void GatewayCall::refuseBlocked()
{
    fail({.kind = m_possibleExecutions > 0 ? ErrorKind::BackendFailed : ErrorKind::EndsTargets,
          .detail = m_suspicion.recordRefusal()});
}

void GatewayCall::cancelBlocked()
{
    const auto blockedAt = std::chrono::steady_clock::now();
    const auto deadline = refusalDeadline({.kind = m_route.kind,
                                           .sentAt = m_sentAt,
                                           .blockedAt = blockedAt,
                                           .refusalTime = m_traffic.m_options.refusalTime});
    if (m_connection && deadline > blockedAt) {
        m_refusalDeadline = m_refusalDeadline.value_or(deadline);
        armTimer();
        return;
    }
    endBlockedAttempt();
}

void GatewayCall::endBlockedAttempt()
{
    m_possibleExecutions += m_connection != nullptr ? 1 : 0;
    releaseTarget(false);
    refuseBlocked();
}

} // namespace Heatherridge
