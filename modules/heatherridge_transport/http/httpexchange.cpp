#include "heatherridge_transport/http/httpexchange.h"

#include "heatherridge_transport/app/logger.h"

#include <utility>

namespace Heatherridge
{

void HttpExchange::setLogId(std::string id)
{
    m_logId = std::move(id);
}

void HttpExchange::respond(HttpResponse response)
{
    if (advance(State::NotBegun, State::Ended, "respond")) {
        if (!isBodyAllowed(response.status)) {
            response.body.clear();
        }
        sendResponse(std::move(response));
    }
}

void HttpExchange::beginStream(int status, const std::vector<HttpHeader> &headers)
{
    const bool hasBody = isBodyAllowed(status);
    if (!advance(State::NotBegun, hasBody ? State::Streaming : State::WithoutBody, "begin-stream")) {
        return;
    }
    if (hasBody) {
        sendStreamHead(status, headers);
    } else {
        sendResponse({.status = status, .headers = headers});
    }
}

void HttpExchange::write(std::string bytes, WriteCallback done)
{
    const auto begun = begunState();
    if (!advance(begun, begun, "write")) {
        done(false);
    } else if (begun == State::WithoutBody || bytes.empty()) {
        done(true); // a chunk of size 0 would end the response
    } else {
        sendStreamBytes(std::move(bytes), std::move(done));
    }
}

void HttpExchange::end()
{
    const auto begun = begunState();
    if (advance(begun, State::Ended, "end") && begun == State::Streaming) {
        sendStreamEnd();
    }
}

void HttpExchange::abort()
{
    if (m_state.exchange(State::Ended) != State::Ended) {
        closeConnection();
    }
}

HttpExchange::State HttpExchange::begunState() const
{
    return m_state == State::WithoutBody ? State::WithoutBody : State::Streaming;
}

bool HttpExchange::advance(State from, State to, std::string_view call)
{
    auto state = from;
    if (m_state.compare_exchange_strong(state, to)) {
        return true;
    }
    recordOutOfOrder();
    logEvent(Severity::Warning, "response-out-of-order",
             {{"request", m_logId}, {"call", std::string(call)}, {"state", std::string(toString(state))}});
    abort();
    return false;
}

std::string_view HttpExchange::toString(State state)
{
    switch (state) {
    case State::NotBegun:
        return "not-begun";
    case State::Streaming:
        return "streaming";
    case State::WithoutBody:
        return "without-body";
    case State::Ended:
        return "ended";
    }
    return "unknown";
}

} // namespace Heatherridge
