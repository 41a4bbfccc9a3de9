#include "gateway/conversations/conversationcaller.h"

#include "gateway/conversations/answertext.h"

#include <thread>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Time without a byte after which a caller that awaits an answer gives up; several times the timeout of the routes. */
constexpr std::chrono::seconds LongestSilence{15};

std::string textOf(const ObservedRequest &request)
{
    const auto &plan = request.plan;
    std::string text = plan.method + " " + request.path + (plan.isHttp10 ? " HTTP/1.0" : " HTTP/1.1")
        + "\r\nHost: h\r\n" + "X-Heatherridge-Request-Id" + ": " + request.id + "\r\n";
    if (plan.lastEventId) {
        text += "Last-Event-Id: " + std::to_string(*plan.lastEventId) + "\r\n";
    }
    if (plan.expectsContinue) {
        text += "Expect: 100-continue\r\n";
    }
    if (request.body.empty()) {
        return text + "\r\n";
    }
    if (!plan.isChunked) {
        return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    }
    const auto half = request.body.size() / 2;
    return text + "Transfer-Encoding: chunked\r\n\r\n" + (half > 0 ? chunkOf(request.body.substr(0, half)) : "")
        + chunkOf(request.body.substr(half)) + "0\r\n\r\n";
}

} // namespace

ConversationCaller::ConversationCaller(Endpoint endpoint, std::vector<ObservedRequest> &requests)
    : m_endpoint(std::move(endpoint))
    , m_requests(requests)
{
}

void ConversationCaller::run()
{
    for (std::size_t next = 0; next < m_requests.size();) {
        auto end = next + 1;
        while (end < m_requests.size() && m_requests[end].plan.isPipelined) {
            ++end;
        }
        if (!m_connection) {
            m_connection = std::make_unique<RawCaller>(m_endpoint, LongestSilence);
        }
        send(next, end);
        for (; next < end; ++next) {
            if (m_connection) {
                receive(m_requests[next]);
            } else {
                m_requests[next].isClosedBefore = true;
            }
        }
    }
}

int ConversationCaller::closeAndCountSurplus()
{
    m_surplusBytes += m_connection ? m_connection->receivedBytesNow() : 0;
    m_connection.reset();
    return m_surplusBytes;
}

void ConversationCaller::send(std::size_t begin, std::size_t end)
{
    std::string text;
    for (auto i = begin; i < end; ++i) {
        text += textOf(m_requests[i]);
        m_requests[i].sentAt = std::chrono::steady_clock::now();
    }
    const auto &plan = m_requests[begin].plan;
    const auto part = text.size() / static_cast<std::size_t>(plan.writes) + 1;
    for (std::size_t position = 0; position < text.size(); position += part) {
        if (position > 0) {
            std::this_thread::sleep_for(plan.writeDelay);
        }
        m_connection->send(text.substr(position, part));
    }
}

void ConversationCaller::receive(ObservedRequest &request)
{
    using Leaving = RequestPlan::Leaving;
    std::this_thread::sleep_for(request.plan.readDelay);
    if (request.plan.leaving == Leaving::AfterFirstBytes) {
        m_connection->awaitBytes();
    }
    if (request.plan.leaving != Leaving::No) {
        leave(request);
        return;
    }
    do {
        request.answer = m_connection->receive(request.plan.method == "HEAD");
        request.continues += request.answer.status == 100 ? 1 : 0;
    } while (request.answer.status == 100);
    const bool isClosed = request.answer.head.find("Connection: close") != std::string::npos;
    if (!request.answer.isWhole || isClosed || request.plan.isHttp10) {
        // What follows an answer that closes the connection belongs to no request.
        m_surplusBytes += request.answer.isWhole ? m_connection->receivedBytesNow() : 0;
        m_connection.reset();
    }
}

void ConversationCaller::leave(ObservedRequest &request)
{
    request.hasLeft = true;
    m_connection.reset();
}

} // namespace Heatherridge
