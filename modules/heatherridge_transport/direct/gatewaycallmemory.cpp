#include "heatherridge_transport/direct/gatewaycall.h"

namespace Heatherridge
{

namespace
{

/** A target that sends nothing for as long in the middle of a response has stalled. */
constexpr std::chrono::milliseconds StallTime{1'000};

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

bool GatewayCall::holdBytes(std::size_t bytes)
{
    m_lastHeldAt = now();
    if (m_isAbandoningAttempt || m_attemptBytes.hold(bytes)) {
        return true;
    }
    if (bytes > AttemptBytes::Max) {
        return false;
    }
    m_traffic.makeRoomFor(*this);
    return m_attemptBytes.hold(bytes);
}

BufferHolder GatewayCall::bufferHolder() const
{
    const bool mayEnd = m_connection && !m_isAbandoningAttempt && m_attemptBytes.held() > AttemptBytes::Assured;
    return {.bytes = mayEnd ? m_attemptBytes.held() : 0,
            .stage = now() - m_lastHeldAt > StallTime ? HoldingStage::Stalled : HoldingStage::Running};
}

void GatewayCall::endAttemptForMemory()
{
    m_response.discard();
    m_attemptBytes.release();
    abandonAttempt("the response takes too much memory");
}

void GatewayTraffic::makeRoomFor(const GatewayCall &growing)
{
    while (m_responseBytes.isExceeded()) {
        std::vector<GatewayCall *> calls;
        std::vector<BufferHolder> holders;
        for (const auto &call : m_calls) {
            calls.push_back(call.get());
            holders.push_back(call->bufferHolder());
        }
        const auto next = BufferBudget::nextToEnd(holders, BufferBudget::Scope::All);
        if (!next || calls[*next] == &growing) {
            return;
        }
        calls[*next]->endAttemptForMemory();
    }
}

} // namespace Heatherridge
