#include "heatherridge_state/decisions/blockedattempt.h"
#include "heatherridge_transport/direct/gatewaycall.h"

namespace Heatherridge
{

namespace
{

/** Callers retry at other entries; this one need not be waited for. */
constexpr std::chrono::milliseconds StoppingRetryAfter{50};

} // namespace

bool GatewayCall::refuseIfBlocked()
{
    if (m_suspicion.isBlocked()) {
        refuseBlocked();
        return true;
    }
    const auto &stop = m_traffic.m_stop;
    const bool hasBegun = m_possibleArrivals > 0 || m_stream.hasBegun();
    if (!stop || hasBegun || stop->mayBegin(m_route.kind, m_deadline, std::chrono::steady_clock::now())) {
        return false;
    }
    fail({.kind = ErrorKind::Draining, .detail = "this entry is shutting down", .retryAfter = StoppingRetryAfter});
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
