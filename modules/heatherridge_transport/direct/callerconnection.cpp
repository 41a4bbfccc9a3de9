#include "heatherridge_transport/direct/callerconnection.h"

#include "heatherridge_transport/direct/httptext.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace Heatherridge
{

/** The answer to the request that a connection reads at present. */
class CallerExchange final : public HttpExchange
{
public:
    CallerExchange(std::shared_ptr<CallerConnection> connection, HttpRequest request)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
    {
    }

    ~CallerExchange() override
    {
        if (m_connection) {
            m_connection->close();
        }
    }

    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;

    const HttpRequest &request() const override
    {
        return m_request;
    }

    void respond(HttpResponse response) override
    {
        if (!m_connection) {
            return;
        }
        const bool keep = m_connection->mayKeep();
        auto bytes = responseHeadText(response.status, response.headers,
                                      {.contentLength = response.body.size(), .keepsConnection = keep});
        if (m_request.method != "HEAD") {
            bytes += response.body;
        }
        m_connection->send(std::move(bytes), {});
        done(keep);
    }

    void beginStream(int status, const std::vector<HttpHeader> &headers) override
    {
        if (!m_connection) {
            return;
        }
        m_keep = m_connection->mayKeep() && !m_connection->m_isHttp10;
        m_isChunked = !m_connection->m_isHttp10;
        m_connection->send(responseHeadText(status, headers, {.isChunked = m_isChunked, .keepsConnection = m_keep}),
                           {});
    }

    void write(std::string bytes, Written done) override
    {
        if (!m_connection) {
            done(false);
            return;
        }
        m_connection->send(m_isChunked ? chunkText(bytes) : std::move(bytes), std::move(done));
    }

    void end() override
    {
        if (!m_connection) {
            return;
        }
        if (m_isChunked) {
            m_connection->send(std::string(LastChunk), {});
        }
        done(m_keep);
    }

    void abort() override
    {
        if (m_connection) {
            const auto connection = std::move(m_connection);
            connection->close();
        }
    }

    void onClosed(std::function<void()> closed) override
    {
        m_closed = std::move(closed);
    }

    /** The caller has gone before the answer's end. */
    void callerLeft()
    {
        m_connection.reset();
        if (const auto closed = std::exchange(m_closed, {})) {
            closed();
        }
    }

private:
    void done(bool keep)
    {
        m_closed = {};
        const auto connection = std::move(m_connection);
        connection->answerDone(keep);
    }

    std::shared_ptr<CallerConnection> m_connection; ///< null once the answer has ended
    HttpRequest m_request;
    std::function<void()> m_closed;
    bool m_keep = true;
    bool m_isChunked = true;
};

namespace
{

bool expectsContinue(const HttpMessageHead &head)
{
    return sameHeaderName(headerValue(head.headers, "Expect"), "100-continue");
}

HttpRequest requestOf(const HttpMessageHead &head)
{
    HttpRequest request{.method = head.method, .target = head.target, .headers = head.headers};
    const auto mark = head.target.find('?');
    request.path = head.target.substr(0, mark);
    if (mark != std::string::npos) {
        request.query = head.target.substr(mark + 1);
    }
    return request;
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, std::shared_ptr<CallerServerState> server)
    : m_socket(std::move(socket))
    , m_server(std::move(server))
    , m_reader(
          HttpMessageReader::Side::Requests, [this](const auto &head) { return takeHead(head); },
          [this](std::string_view bytes) {
              if (!m_refused && m_request.body.size() + bytes.size() > m_server->bounds.maxBodyBytes) {
                  m_refused = ErrorKind::BodyTooLarge;
              }
              if (!m_refused) {
                  m_request.body.append(bytes);
              }
          })
    , m_phaseSince(std::chrono::steady_clock::now())
{
}

CallerConnection::~CallerConnection()
{
    setPhase(Phase::Closed);
}

void CallerConnection::start()
{
    asio::error_code ignored; // a socket without the option still works, only later
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    read();
}

void CallerConnection::tick(SteadyTime now)
{
    const auto waited = now - m_phaseSince;
    switch (m_phase) {
    case Phase::Waiting:
        if (waited > m_server->bounds.idleTimeout) {
            m_server->idleTimeouts->add();
            close();
        }
        break;
    case Phase::Receiving:
        if (waited > m_server->bounds.headerTimeout && m_reader.state() == HttpMessageReader::State::Head) {
            m_server->headTimeouts->add();
            refuse(ErrorKind::SlowSender);
        } else if (waited > m_server->bounds.headerTimeout + m_server->bounds.idleTimeout) {
            refuse(ErrorKind::SlowSender);
        }
        break;
    case Phase::Answering:
        if (m_isWriting && now - m_lastWrite > WriteTimeout) {
            callerLeft();
        }
        break;
    case Phase::Closing:
        if (waited > LingerTimeout) {
            close();
        }
        break;
    case Phase::Closed:
        break;
    }
}

void CallerConnection::closeIfIdle()
{
    if (m_phase == Phase::Waiting) {
        linger();
    }
}

void CallerConnection::close()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    setPhase(Phase::Closed);
    asio::error_code ignored; // nothing can be done about a socket that does not close
    m_socket.close(ignored);
}

void CallerConnection::read()
{
    if (m_isReading || m_phase == Phase::Closed || m_pending.size() > MostPending) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                                 self->m_isReading = false;
                                 self->takeRead(error, size);
                             });
}

void CallerConnection::takeRead(const asio::error_code &error, std::size_t size)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (error) {
        if (m_phase == Phase::Answering) {
            callerLeft();
        } else {
            close();
        }
        return;
    }
    if (m_phase == Phase::Closing) {
        read(); // what comes behind the last answer is thrown away
        return;
    }
    if (m_phase == Phase::Answering) {
        m_pending.append(m_buffer.data(), size);
    } else {
        takeBytes({m_buffer.data(), size});
    }
    read();
}

void CallerConnection::takeBytes(std::string_view bytes)
{
    if (m_phase == Phase::Waiting) {
        setPhase(Phase::Receiving);
    }
    const auto taken = m_reader.feed(bytes);
    const auto state = m_reader.state();
    if (m_refused) {
        refuse(*m_refused);
        return;
    }
    if (state == HttpMessageReader::State::Malformed) {
        refuse(m_reader.isHeadTooLarge() ? ErrorKind::HeaderTooLarge : ErrorKind::BadRequest);
        return;
    }
    if (state == HttpMessageReader::State::Complete) {
        m_pending.append(bytes.substr(taken));
        requestComplete();
        return;
    }
    if (std::exchange(m_expectsContinue, false)) {
        send("HTTP/1.1 100 Continue\r\n\r\n", {});
    }
}

bool CallerConnection::takeHead(const HttpMessageHead &head)
{
    m_request = requestOf(head);
    m_requestKeeps = head.keepsConnection;
    m_expectsContinue = expectsContinue(head);
    if (head.headBytes > m_server->bounds.maxHeaderBytes) {
        m_refused = ErrorKind::HeaderTooLarge;
    } else if (head.contentLength.value_or(0) > m_server->bounds.maxBodyBytes) {
        m_refused = ErrorKind::BodyTooLarge;
    } else if (head.method == "CONNECT" || head.target.empty() || head.target.front() != '/') {
        m_refused = ErrorKind::BadRequest;
    }
    return true;
}

void CallerConnection::requestComplete()
{
    setPhase(Phase::Answering);
    const auto exchange = std::make_shared<CallerExchange>(shared_from_this(), std::exchange(m_request, {}));
    m_exchange = exchange;
    m_server->handler(exchange);
}

void CallerConnection::refuse(ErrorKind kind)
{
    auto response = m_server->refusal(kind);
    m_closeWhenWritten = true;
    setPhase(Phase::Answering);
    send(responseHeadText(response.status, response.headers,
                          {.contentLength = response.body.size(), .keepsConnection = false})
             + response.body,
         {});
}

void CallerConnection::send(std::string bytes, HttpExchange::Written done)
{
    if (m_phase == Phase::Closed) {
        if (done) {
            done(false);
        }
        return;
    }
    m_writes.push_back({.bytes = std::move(bytes), .done = std::move(done)});
    writeNext();
}

void CallerConnection::writeNext()
{
    if (m_isWriting || m_writes.empty() || m_phase == Phase::Closed) {
        return;
    }
    m_isWriting = true;
    m_lastWrite = std::chrono::steady_clock::now();
    auto pieces = std::make_shared<std::deque<Piece>>(std::exchange(m_writes, {}));
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(pieces->size());
    for (const auto &piece : *pieces) {
        buffers.emplace_back(asio::buffer(piece.bytes));
    }
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this(), pieces](const asio::error_code &error, std::size_t) {
                          self->m_isWriting = false;
                          for (const auto &piece : *pieces) {
                              if (piece.done) {
                                  piece.done(!error);
                              }
                          }
                          if (error) {
                              self->callerLeft();
                          } else if (!self->m_writes.empty()) {
                              self->writeNext();
                          } else if (self->m_closeWhenWritten) {
                              self->linger();
                          }
                      });
}

void CallerConnection::answerDone(bool keep)
{
    m_exchange.reset();
    if (m_phase != Phase::Answering) {
        return;
    }
    if (!keep) {
        m_closeWhenWritten = true;
        if (!m_isWriting && m_writes.empty()) {
            linger();
        }
        return;
    }
    beginNext();
}

void CallerConnection::beginNext()
{
    m_reader.reset();
    setPhase(Phase::Waiting);
    if (m_pending.empty()) {
        read();
        return;
    }
    const auto bytes = std::exchange(m_pending, {});
    takeBytes(bytes);
    read();
}

void CallerConnection::linger()
{
    if (m_phase == Phase::Closed || m_phase == Phase::Closing) {
        return;
    }
    setPhase(Phase::Closing);
    m_pending.clear();
    asio::error_code ignored; // a caller that has gone has no use for the end either
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void CallerConnection::setPhase(Phase phase)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (m_phase != Phase::Answering && phase == Phase::Answering) {
        ++m_server->busy;
    } else if (m_phase == Phase::Answering && phase != Phase::Answering) {
        --m_server->busy;
    }
    m_phase = phase;
    m_phaseSince = std::chrono::steady_clock::now();
}

void CallerConnection::callerLeft()
{
    m_server->callersGone->add();
    const auto exchange = m_exchange.lock();
    close();
    if (exchange) {
        exchange->callerLeft();
    }
}

bool CallerConnection::mayKeep() const
{
    return m_requestKeeps && !m_server->isDraining;
}

} // namespace Heatherridge
