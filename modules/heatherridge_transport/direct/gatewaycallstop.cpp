#include "heatherridge_transport/direct/gatewaycall.h"

namespace Heatherridge
{

namespace
{

/** Callers retry at other entries; this one need not be waited for. */
constexpr std::chrono::milliseconds StoppingRetryAfter{50};

} // namespace

bool GatewayCall::mayAttemptInStop() const
{
    const auto &stop = m_traffic.m_stop;
    const auto now = std::chrono::steady_clock::now();
    if (!stop) {
        return true;
    }
    return m_possibleExecutions > 0 || m_stream.hasBegun() ? stop->mayRepeat(m_deadline, m_route.objective, now)
                                                           : stop->mayBegin(m_route.kind, m_deadline, now);
}

bool GatewayCall::refuseIfStopping()
{
    if (mayAttemptInStop()) {
        return false;
    }
    failForStop();
    return true;
}

void GatewayCall::failForStop()
{
    fail({.kind = m_possibleExecutions > 0 ? ErrorKind::BackendFailed : ErrorKind::Draining,
          .detail = "this entry is shutting down",
          .retryAfter = StoppingRetryAfter});
}

void GatewayCall::endForStop()
{
    if (m_isDone) {
        return;
    }
    m_possibleExecutions += m_connection || m_isProbingTarget ? 1 : 0;
    releaseTarget(false);
    failForStop();
}

bool GatewayCall::canContinueElsewhere()
{
    // A stalled group usually recovers, and all its streams fall silent at once. A stream without retry budget or
    // another engine is better left where it is, as is one whose repeat would be refused because of a stop.
    const auto now = std::chrono::steady_clock::now();
    const auto &stop = m_traffic.m_stop;
    return (!stop || stop->mayRepeat(m_deadline, m_route.objective, now))
        && m_traffic.retryBudgetFor(m_service).remaining(now) >= 1
        && m_traffic.m_targets.choose(requirements(m_tried), now, m_traffic.m_random).target != nullptr;
}

} // namespace Heatherridge
