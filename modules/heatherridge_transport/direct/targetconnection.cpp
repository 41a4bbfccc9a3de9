#include "heatherridge_transport/direct/targetconnection.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>

#include <utility>

#include <netinet/tcp.h>

namespace Heatherridge
{

namespace
{

/**
 * TCP user timeout: a connection whose data remains unacknowledged for this long is closed. A host that has lost power
 * or its network path sends no reset; without this timeout, requests written to it would wait for their deadline.
 */
constexpr std::chrono::milliseconds UnacknowledgedTimeout{1'500};
/** Interim responses (1xx) to one request after which its final one is not awaited any more. */
constexpr int MaxInterimHeads = 16;
/** Largest head of a response, as sent. */
constexpr std::size_t MaxHeadBytes = 64UL << 10U;

void setSocketOptions(asio::ip::tcp::socket &socket)
{
    asio::error_code ignored; // without these options the socket still works, with higher latency
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(static_cast<int>(UnacknowledgedTimeout.count())), ignored);
}

} // namespace

TargetConnection::TargetConnection(asio::io_context &loop, Endpoint endpoint, std::uint64_t number)
    : m_socket(loop)
    , m_connectTimer(loop)
    , m_endpoint(std::move(endpoint))
    , m_number(number)
    , m_reader(
          HttpMessageReader::Side::Responses, [this](HttpMessageHead head) { return onHead(std::move(head)); },
          [this](std::string_view bytes) {
              if (m_isBusy && !m_isInterim && m_events.body) {
                  m_events.body(bytes);
              }
          })
    , m_idleSince(std::chrono::steady_clock::now())
{
    m_reader.setMaxHeadBytes(MaxHeadBytes);
}

void TargetConnection::exchange(OutgoingRequest request, std::chrono::milliseconds connectTimeout,
                                ExchangeEvents events)
{
    m_isHeadRequest = request.isHead;
    m_request = std::move(request);
    m_events = std::move(events);
    m_isBusy = true;
    m_isWritten = false;
    m_isEndPending = false;
    m_writeError.clear();
    m_mayHaveArrived = false;
    m_isPaused = false;
    m_isKeepAlive = true;
    m_interimHeads = 0;
    m_reader.reset();
    if (m_isOpen) {
        write();
    } else {
        connect(connectTimeout);
    }
}

void TargetConnection::close()
{
    if (m_isBusy && m_isOpen) {
        // A reset makes the target stop its work and discards data in flight. Otherwise, a request buffered for a
        // frozen host would reach its target when the host resumes, seconds after the caller has disconnected.
        asio::error_code ignored; // on failure, the connection closes without a reset
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_isBusy = false;
    m_events = {};
    m_onUnusable = {};
    closeSocket();
}

void TargetConnection::pauseReading()
{
    m_isPaused = true;
}

void TargetConnection::resumeReading()
{
    m_isPaused = false;
    read();
}

bool TargetConnection::isReusable() const
{
    return m_isOpen && !m_isBusy && !m_isClosed;
}

bool TargetConnection::hasUnreadInput()
{
    char next = 0;
    asio::error_code error;
    m_socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

SteadyTime TargetConnection::idleSince() const
{
    return m_idleSince;
}

void TargetConnection::onUnusable(std::function<void()> unusable)
{
    m_onUnusable = std::move(unusable);
}

std::uint64_t TargetConnection::number() const
{
    return m_number;
}

const Endpoint &TargetConnection::endpoint() const
{
    return m_endpoint;
}

void TargetConnection::connect(std::chrono::milliseconds timeout)
{
    asio::error_code error;
    const auto address = asio::ip::make_address(m_endpoint.address, error);
    if (error) {
        failExchange("not an IP address: " + m_endpoint.address);
        return;
    }
    m_connectTimer.expires_after(timeout);
    m_connectTimer.async_wait([self = shared_from_this()](const asio::error_code &cancelled) {
        if (!cancelled && !self->m_isOpen) {
            self->failExchange("connect timeout");
        }
    });
    m_socket.async_connect({address, static_cast<std::uint16_t>(m_endpoint.port)},
                           [self = shared_from_this()](asio::error_code failed) {
                               if (self->m_isClosed) {
                                   return;
                               }
                               self->m_connectTimer.cancel();
                               if (!failed) {
                                   self->m_socket.non_blocking(true, failed); // for hasUnreadInput()
                               }
                               if (failed) {
                                   self->failExchange("connect: " + failed.message());
                                   return;
                               }
                               setSocketOptions(self->m_socket);
                               self->m_isOpen = true;
                               self->write();
                               self->read();
                           });
}

void TargetConnection::write()
{
    m_mayHaveArrived = true;
    m_isWriting = true;
    const auto body = m_request.body ? asio::buffer(*m_request.body) : asio::const_buffer();
    asio::async_write(m_socket, std::array{asio::const_buffer(asio::buffer(m_request.head)), body},
                      [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                          const auto written = std::exchange(self->m_request, {});
                          self->onWritten(error);
                      });
    read();
}

void TargetConnection::onWritten(const asio::error_code &error)
{
    // A failed write ends no exchange by itself: a response may have arrived before it, which is read first.
    m_isWriting = false;
    m_isWritten = !error;
    m_writeError = error;
    if (std::exchange(m_isEndPending, false) && m_isBusy && !m_isClosed) {
        onEndOfStream();
    }
}

void TargetConnection::read()
{
    if (m_isReading || m_isPaused || !m_isOpen || m_isClosed) {
        return;
    }
    m_isReading = true;
    if (!m_isBusy) {
        awaitInput();
        return;
    }
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                                 self->m_isReading = false;
                                 self->onRead(error, size);
                             });
}

void TargetConnection::awaitInput()
{
    // An asynchronous read may take bytes from the socket before its handler runs, where hasUnreadInput() cannot see
    // them. Waiting leaves them in the socket.
    m_socket.async_wait(asio::socket_base::wait_read, [self = shared_from_this()](asio::error_code error) {
        self->m_isReading = false;
        std::size_t size = 0;
        if (!error && !self->m_isClosed) {
            size = self->m_socket.read_some(asio::buffer(self->m_buffer), error);
        }
        if (error == asio::error::would_block) {
            self->read();
        } else {
            self->onRead(error, size);
        }
    });
}

void TargetConnection::onRead(const asio::error_code &error, std::size_t size)
{
    if (m_isClosed) {
        return;
    }
    if (!m_isBusy) {
        closeSocket(); // the idle connection was closed or received unsolicited data
        if (const auto unusable = std::exchange(m_onUnusable, {})) {
            unusable();
        }
        return;
    }
    if (error == asio::error::eof) {
        onEndOfStream();
        return;
    }
    if (error) {
        failExchange(error.message());
        return;
    }
    processBytes({m_buffer.data(), size});
    read();
}

void TargetConnection::onEndOfStream()
{
    m_isKeepAlive = false;
    if (m_isWriting) {
        m_isEndPending = true;
        return;
    }
    // The kernel reports a reset once. If the write has reported it, the read sees an orderly end. A write to a
    // connection whose end was received before its reset fails with a broken pipe.
    if (m_writeError && m_writeError != asio::error::broken_pipe) {
        failExchange(m_writeError.message());
        return;
    }
    m_reader.feedEndOfStream();
    if (m_reader.state() == HttpMessageReader::State::Complete) {
        completeExchange(false);
    } else {
        failExchange("connection closed before the end of the response");
    }
}

void TargetConnection::processBytes(std::string_view bytes)
{
    while (!bytes.empty() && m_isBusy) {
        const auto consumed = m_reader.feed(bytes);
        bytes.remove_prefix(std::min(consumed, bytes.size()));
        if (!m_isBusy) {
            return; // the owner closed the connection in an event handler
        }
        if (m_reader.state() == HttpMessageReader::State::Malformed) {
            failExchange("malformed HTTP response");
            return;
        }
        if (m_reader.state() == HttpMessageReader::State::Head && m_events.headBytes
            && !m_events.headBytes(m_reader.heldBytes())) {
            m_reader.reset();
            failExchange("the head of the response takes too much memory");
            return;
        }
        if (m_reader.state() != HttpMessageReader::State::Complete) {
            return;
        }
        if (m_isInterim) {
            m_isInterim = false;
            m_reader.reset();
            if (++m_interimHeads > MaxInterimHeads) {
                failExchange("too many interim responses");
                return;
            }
            continue;
        }
        completeExchange(!bytes.empty());
        return;
    }
}

bool TargetConnection::onHead(HttpMessageHead head)
{
    head.endsWithConnection = head.endsWithConnection && !m_isHeadRequest;
    m_isInterim = head.status >= 100 && head.status < 200;
    if (m_isInterim || !m_isBusy) {
        return true;
    }
    const bool isBodyExpected = isBodyAllowed(head.status) && !m_isHeadRequest;
    // A target that announces a body where none is allowed may send it: it would precede the next response.
    const bool mayHaveSurplus = !isBodyAllowed(head.status) && (head.isChunked || head.contentLength.value_or(0) > 0);
    m_isKeepAlive = head.isKeepAlive && !mayHaveSurplus;
    if (m_events.head) {
        m_events.head(head);
    }
    return isBodyExpected;
}

void TargetConnection::completeExchange(bool hasLeftover)
{
    m_isBusy = false;
    m_idleSince = std::chrono::steady_clock::now();
    // A target that responds before it has read the whole request would parse the rest as the next request.
    if (hasLeftover || !m_isKeepAlive || !m_isWritten || m_isReading) {
        closeSocket();
    }
    const auto events = std::exchange(m_events, {});
    if (events.complete) {
        events.complete();
    }
}

void TargetConnection::failExchange(std::string reason)
{
    closeSocket();
    if (!m_isBusy) {
        return;
    }
    m_isBusy = false;
    const auto events = std::exchange(m_events, {});
    if (events.failed) {
        events.failed({.mayHaveArrived = m_mayHaveArrived, .reason = std::move(reason)});
    }
}

void TargetConnection::closeSocket()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_isOpen = false;
    m_connectTimer.cancel();
    asio::error_code ignored; // a close that fails cannot be handled
    m_socket.close(ignored);
}

} // namespace Heatherridge
