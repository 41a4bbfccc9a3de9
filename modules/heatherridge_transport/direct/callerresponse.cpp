#include "heatherridge_transport/direct/callerresponse.h"

#include "heatherridge_state/base/result.h"

#include <utility>

namespace Heatherridge
{

CallerResponse::CallerResponse(std::shared_ptr<HttpExchange> exchange)
    : m_exchange(std::move(exchange))
{
}

void CallerResponse::onDrained(std::function<void()> drained)
{
    m_onDrained = std::move(drained);
}

bool CallerResponse::hasBegun() const
{
    return m_hasBegun;
}

bool CallerResponse::isFull() const
{
    return m_unsentBytes > MaxUnsentBytes;
}

void CallerResponse::forward(std::string event, int status, const std::vector<HttpHeader> &headers)
{
    if (!std::exchange(m_hasBegun, true)) {
        m_exchange->beginStream(status, headers);
    }
    const auto size = event.size();
    m_unsentBytes += size;
    m_exchange->write(std::move(event), [weak = weak_from_this(), size](bool) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const bool wasFull = self->isFull();
        self->m_unsentBytes -= size;
        if (wasFull && !self->isFull() && self->m_onDrained) {
            self->m_onDrained();
        }
    });
}

CallerResponse::Conclusion CallerResponse::conclude(CallOutcome outcome)
{
    return std::visit(Visitor{[this](WholeAnswer &answer) {
                                  const int status = answer.response.status;
                                  if (m_hasBegun) {
                                      return breakOff("target answered " + std::to_string(status));
                                  }
                                  m_exchange->respond(std::move(answer.response));
                                  return Conclusion{status < 400 ? "delivered" : "target-failure", status};
                              },
                              [this](const CompleteStream &stream) {
                                  if (!std::exchange(m_hasBegun, true)) {
                                      m_exchange->beginStream(stream.status, stream.headers);
                                  }
                                  m_exchange->end();
                                  return Conclusion{"delivered", stream.status};
                              },
                              [this](LocalError &error) {
                                  if (m_hasBegun) {
                                      return breakOff(error.reason);
                                  }
                                  const int status = error.response.status;
                                  m_exchange->respond(std::move(error.response));
                                  return Conclusion{std::move(error.reason), status};
                              },
                              [this](const AbandonedCall &) {
                                  m_exchange->abort();
                                  return Conclusion{};
                              }},
                      outcome);
}

CallerResponse::Conclusion CallerResponse::breakOff(std::string_view reason)
{
    // The head has been sent: only closing the connection shows that the answer is incomplete.
    m_exchange->abort();
    return {.outcome = "stream-broken: " + std::string(reason), .status = 200};
}

} // namespace Heatherridge
