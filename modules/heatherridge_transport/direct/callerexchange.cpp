#include "heatherridge_transport/direct/callerexchange.h"

#include "heatherridge_transport/direct/callerconnection.h"
#include "heatherridge_transport/direct/httptext.h"

#include <utility>

namespace Heatherridge
{

CallerExchange::CallerExchange(std::shared_ptr<CallerConnection> connection, HttpRequest request)
    : m_connection(std::move(connection))
    , m_server(m_connection->m_server)
    , m_request(std::move(request))
{
}

CallerExchange::~CallerExchange()
{
    if (m_connection) {
        m_connection->close();
    }
}

const HttpRequest &CallerExchange::request() const
{
    return m_request;
}

void CallerExchange::onClosed(std::function<void()> closed)
{
    m_onClosed = std::move(closed);
}

void CallerExchange::onCallerDisconnected()
{
    m_connection.reset();
    if (const auto closed = std::exchange(m_onClosed, {})) {
        closed();
    }
}

void CallerExchange::sendResponse(HttpResponse response)
{
    if (!m_connection) {
        return;
    }
    const bool keepAlive = m_connection->canKeepAlive();
    auto bytes = responseHeadText(response.status, response.headers,
                                  {.contentLength = response.body.size(), .keepsConnection = keepAlive});
    if (m_request.method != "HEAD") {
        bytes += response.body;
    }
    m_connection->send(std::move(bytes), {});
    finish(keepAlive);
}

void CallerExchange::sendStreamHead(int status, const std::vector<HttpHeader> &headers)
{
    if (!m_connection) {
        return;
    }
    m_keepAlive = m_connection->canKeepAlive();
    m_isChunked = !m_connection->m_isHttp10;
    if (!m_isChunked) {
        m_connection->setResetOnClose(true);
    }
    m_connection->send(responseHeadText(status, headers, {.isChunked = m_isChunked, .keepsConnection = m_keepAlive}),
                       {});
}

void CallerExchange::sendStreamBytes(std::string bytes, WriteCallback done)
{
    if (!m_connection) {
        done(false);
        return;
    }
    if (m_request.method == "HEAD") {
        done(true); // its response has no body
        return;
    }
    m_connection->send(m_isChunked ? chunkText(bytes) : std::move(bytes), std::move(done));
}

void CallerExchange::sendStreamEnd()
{
    if (!m_connection) {
        return;
    }
    if (m_isChunked && m_request.method != "HEAD") {
        m_connection->send(std::string(LastChunk), {});
    }
    finish(m_keepAlive);
}

void CallerExchange::closeConnection()
{
    if (m_connection) {
        const auto connection = std::move(m_connection);
        connection->abort();
    }
}

void CallerExchange::recordOutOfOrder()
{
    m_server->responsesOutOfOrder->add();
}

void CallerExchange::finish(bool keepAlive)
{
    m_onClosed = {};
    const auto connection = std::move(m_connection);
    connection->onResponseFinished(keepAlive);
}

} // namespace Heatherridge
