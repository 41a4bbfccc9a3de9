#include "heatherridge_transport/direct/callerconnection.h"

#include "heatherridge_transport/direct/callerexchange.h"
#include "heatherridge_transport/direct/httptext.h"

#include <asio/buffer.hpp>
#include <asio/completion_condition.hpp>
#include <asio/write.hpp>

#include <numeric>
#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace Heatherridge
{

namespace
{

bool expectsContinue(const HttpMessageHead &head)
{
    return isSameHeaderName(headerValue(head.headers, "Expect"), "100-continue");
}

HttpRequest makeRequest(HttpMessageHead head)
{
    HttpRequest request{.method = std::move(head.method),
                        .path = head.target.substr(0, head.target.find('?')),
                        .target = std::move(head.target),
                        .headers = std::move(head.headers)};
    if (request.path.size() < request.target.size()) {
        request.query = request.target.substr(request.path.size() + 1);
    }
    return request;
}

/** Returns the memory in bytes that the head of @p request takes until it is answered: here, and as text on its way to
 * a target. */
std::size_t headMemory(const HttpRequest &request)
{
    constexpr std::size_t separators = 4; // after the name and the value of a header
    const auto textBytes = std::accumulate(request.headers.begin(), request.headers.end(), request.target.size(),
                                           [](std::size_t sum, const auto &header) {
                                               return sum + header.name.size() + header.value.size() + separators;
                                           });
    return allocatedBytes(request.headers) + allocatedBytes(request.target) + allocatedBytes(request.path)
        + allocatedBytes(request.query) + textBytes;
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, std::shared_ptr<CallerServerState> server)
    : m_socket(std::move(socket))
    , m_server(std::move(server))
    , m_reader(
          HttpMessageReader::Side::Requests, [this](HttpMessageHead head) { return onHead(std::move(head)); },
          [this](std::string_view bytes) {
              if (!m_rejection && m_request.body.size() + bytes.size() > m_server->limits.maxBodyBytes) {
                  m_rejection = ErrorKind::BodyTooLarge;
              }
              if (!m_rejection) {
                  m_request.body.append(bytes);
                  m_bodyBytes = m_request.body.size();
              }
          })
    , m_phaseSince(std::chrono::steady_clock::now())
    , m_connectedAt(m_phaseSince)
    , m_receivedAt(m_phaseSince)
{
    ++m_server->openCount;
}

CallerConnection::~CallerConnection()
{
    setPhase(Phase::Closed);
    m_server->buffers.change(m_countedBytes, 0);
}

void CallerConnection::start()
{
    asio::error_code ignored; // without this option the socket still works, with higher latency
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    read();
}

void CallerConnection::tick(SteadyTime now)
{
    const auto elapsed = now - m_phaseSince;
    switch (m_phase) {
    case Phase::Waiting:
        if (elapsed > m_server->limits.idleTimeout) {
            m_server->idleTimeouts->add();
            close();
        }
        break;
    case Phase::Receiving:
        if (elapsed > m_server->limits.headerTimeout && m_reader.state() == HttpMessageReader::State::Head) {
            m_server->headTimeouts->add();
            reject(ErrorKind::SlowSender);
        } else if (elapsed > m_server->limits.headerTimeout + m_server->limits.idleTimeout) {
            reject(ErrorKind::SlowSender);
        }
        break;
    case Phase::Answering:
        if (m_isWriting && now - m_writeStartedAt > WriteTimeout) {
            disconnect();
        } else if (m_abortedAt && (!hasUnacknowledgedBytes() || now - *m_abortedAt > LingerTimeout)) {
            close();
        }
        break;
    case Phase::Closing:
        if (elapsed > LingerTimeout) {
            close();
        }
        break;
    case Phase::Closed:
        break;
    }
}

std::size_t CallerConnection::heldBytes() const
{
    return m_reader.heldBytes() + m_headBytes + m_bodyBytes + allocatedBytes(m_pending) + m_unsentBytes;
}

HoldingStage CallerConnection::holdingStage(SteadyTime now) const
{
    const bool isReceiving = m_phase == Phase::Receiving;
    if (isReceiving ? now - m_receivedAt > StallTime : isUnread(now)) {
        return HoldingStage::Stalled;
    }
    return isReceiving ? HoldingStage::Arriving : HoldingStage::Running;
}

RetainedConnection CallerConnection::retention(SteadyTime now) const
{
    switch (m_phase) {
    case Phase::Waiting:
        return m_hasAnsweredBefore ? RetainedConnection{ConnectionUse::Idle, m_phaseSince}
                                   : RetainedConnection{ConnectionUse::Unused, m_connectedAt};
    case Phase::Receiving:
        if (!m_hasAnsweredBefore) {
            return {ConnectionUse::Unused, m_connectedAt};
        }
        return now - m_receivedAt > StallTime ? RetainedConnection{ConnectionUse::Unused, m_receivedAt}
                                              : RetainedConnection{ConnectionUse::Busy, m_receivedAt};
    case Phase::Answering:
        return {isUnread(now) ? ConnectionUse::Unread : ConnectionUse::Busy, m_writeProgressAt};
    case Phase::Closing:
    case Phase::Closed:
        break;
    }
    return {ConnectionUse::Closing, m_phaseSince};
}

bool CallerConnection::isUnread(SteadyTime now) const
{
    return m_isWriting && now - m_writeProgressAt > StallTime;
}

void CallerConnection::endForMemory()
{
    if (m_phase == Phase::Receiving) {
        reject(ErrorKind::Overloaded);
    } else {
        disconnect();
    }
    updateHeldBytes();
}

void CallerConnection::updateHeldBytes()
{
    const auto held = m_phase == Phase::Closed ? 0 : heldBytes();
    m_server->buffers.change(m_countedBytes, held);
    const bool hasGrown = held > m_countedBytes;
    m_countedBytes = held;
    if (!hasGrown || !m_server->buffersExceeded) {
        return;
    }
    const auto scope = m_server->buffers.scopeToEnd();
    const bool isLargeArrival = m_phase == Phase::Receiving && held >= BufferBudget::LargeArrivalBytes;
    if (scope == BufferBudget::Scope::All || (scope && isLargeArrival)) {
        m_server->buffersExceeded();
    }
}

void CallerConnection::closeIfIdle()
{
    if (m_phase == Phase::Waiting) {
        linger();
    }
}

bool CallerConnection::refuseIfArriving()
{
    if (m_phase != Phase::Receiving) {
        return false;
    }
    reject(ErrorKind::Draining);
    updateHeldBytes();
    return true;
}

void CallerConnection::close()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    setPhase(Phase::Closed);
    updateHeldBytes();
    asio::error_code ignored; // a close that fails cannot be handled
    m_socket.close(ignored);
}

void CallerConnection::abort()
{
    if (m_hasAnsweredBefore && m_phase == Phase::Answering && hasUnacknowledgedBytes()) {
        m_abortedAt = std::chrono::steady_clock::now();
    } else {
        close();
    }
}

bool CallerConnection::hasUnacknowledgedBytes()
{
    int bytes = 0;
    return ::ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void CallerConnection::read()
{
    if (m_isReading || m_phase == Phase::Closed || m_pending.size() > m_server->maxPendingBytes) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                                 self->m_isReading = false;
                                 self->onRead(error, size);
                             });
}

void CallerConnection::onRead(const asio::error_code &error, std::size_t size)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (error) {
        if (m_phase == Phase::Answering) {
            disconnect();
        } else {
            close();
        }
        return;
    }
    m_receivedAt = std::chrono::steady_clock::now();
    if (m_phase == Phase::Closing) {
        read(); // discards data received after the last response
        return;
    }
    const std::string_view bytes(m_buffer.data(), size);
    if (m_phase == Phase::Answering) {
        m_pending.append(bytes);
    } else {
        m_pending.append(bytes.substr(feedReader(bytes)));
        handleReaderState();
    }
    updateHeldBytes();
    read();
}

std::size_t CallerConnection::feedReader(std::string_view bytes)
{
    m_reader.setMaxHeadBytes(m_server->limits.maxHeaderBytes);
    const auto consumed = m_reader.feed(bytes);
    if (m_phase == Phase::Waiting && m_reader.state() != HttpMessageReader::State::Idle) {
        setPhase(Phase::Receiving);
    }
    return consumed;
}

void CallerConnection::handleReaderState()
{
    const auto state = m_reader.state();
    const bool isContinueExpected = std::exchange(m_expectsContinue, false);
    if (m_server->isRefusing && m_phase == Phase::Receiving) {
        reject(ErrorKind::Draining);
        return;
    }
    if (m_rejection) {
        reject(*m_rejection);
        return;
    }
    if (state == HttpMessageReader::State::Malformed) {
        reject(m_reader.isHeadTooLarge() ? ErrorKind::HeaderTooLarge : ErrorKind::BadRequest);
        return;
    }
    if (state == HttpMessageReader::State::Complete) {
        dispatchRequest();
        return;
    }
    if (isContinueExpected) {
        send("HTTP/1.1 100 Continue\r\n\r\n", {});
    }
}

bool CallerConnection::onHead(HttpMessageHead head)
{
    m_isHttp10 = head.isHttp10;
    m_isKeepAlive = head.isKeepAlive && !m_isHttp10;
    m_expectsContinue = expectsContinue(head) && !m_isHttp10;
    if (head.contentLength.value_or(0) > m_server->limits.maxBodyBytes) {
        m_rejection = ErrorKind::BodyTooLarge;
    } else if (head.method == "CONNECT" || head.target.empty() || head.target.front() != '/') {
        m_rejection = ErrorKind::BadRequest;
    }
    m_request = makeRequest(std::move(head));
    m_headBytes = headMemory(m_request);
    return true;
}

void CallerConnection::dispatchRequest()
{
    setPhase(Phase::Answering);
    const auto exchange = std::make_shared<CallerExchange>(shared_from_this(), std::exchange(m_request, {}));
    m_exchange = exchange;
    m_server->handler(exchange);
}

void CallerConnection::reject(ErrorKind kind)
{
    const auto response = m_server->makeRejection(kind);
    const bool isHeadRequest = m_reader.isHeadRequest();
    const auto dropped = std::exchange(m_request, {}); // assigning alone would keep the memory of its strings
    m_reader.reset();
    m_headBytes = 0;
    m_bodyBytes = 0;
    clearPending();
    m_closeWhenWritten = true;
    setPhase(Phase::Answering);
    auto bytes = responseHeadText(response.status, response.headers,
                                  {.contentLength = response.body.size(), .keepsConnection = false});
    if (!isHeadRequest) {
        bytes += response.body;
    }
    send(std::move(bytes), {});
}

void CallerConnection::send(std::string bytes, HttpExchange::WriteCallback done)
{
    if (m_phase == Phase::Closed) {
        if (done) {
            done(false);
        }
        return;
    }
    m_unsentBytes += bytes.size();
    m_pendingWrites.push_back({.bytes = std::move(bytes), .done = std::move(done)});
    writeNext();
    updateHeldBytes();
}

void CallerConnection::writeNext()
{
    if (m_isWriting || m_pendingWrites.empty() || m_phase == Phase::Closed) {
        return;
    }
    m_isWriting = true;
    m_writeStartedAt = std::chrono::steady_clock::now();
    m_writeProgressAt = m_writeStartedAt;
    auto batch = std::make_shared<std::deque<PendingWrite>>(std::exchange(m_pendingWrites, {}));
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(batch->size());
    for (const auto &write : *batch) {
        buffers.emplace_back(asio::buffer(write.bytes));
    }
    const auto recordProgress = [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
        if (size > 0) {
            self->m_writeProgressAt = std::chrono::steady_clock::now();
        }
        return asio::transfer_all()(error, size);
    };
    asio::async_write(m_socket, buffers, recordProgress,
                      [self = shared_from_this(), batch](const asio::error_code &error, std::size_t) {
                          for (const auto &write : *batch) {
                              self->m_unsentBytes -= write.bytes.size();
                              if (write.done) {
                                  write.done(!error);
                              }
                          }
                          self->m_isWriting = false; // not earlier: what the callbacks send is written together
                          self->updateHeldBytes();
                          if (error) {
                              self->disconnect();
                              return;
                          }
                          self->writeNext();
                          self->continueWhenWritten();
                      });
}

void CallerConnection::onResponseFinished(bool keepAlive)
{
    m_exchange.reset();
    m_headBytes = 0;
    m_bodyBytes = 0;
    updateHeldBytes();
    if (m_phase != Phase::Answering) {
        return;
    }
    m_isResponseFinished = true;
    m_closeWhenWritten = m_closeWhenWritten || !keepAlive;
    continueWhenWritten();
}

void CallerConnection::continueWhenWritten()
{
    if (m_phase != Phase::Answering || m_isWriting) {
        return;
    }
    if (m_closeWhenWritten) {
        linger();
    } else if (std::exchange(m_isResponseFinished, false)) {
        startNextRequest();
    }
}

void CallerConnection::startNextRequest()
{
    m_hasAnsweredBefore = true;
    m_reader.reset();
    setPhase(Phase::Waiting);
    if (!m_pending.empty()) {
        m_pendingStart += feedReader(std::string_view(m_pending).substr(m_pendingStart));
        if (m_pendingStart == m_pending.size()) {
            clearPending();
        }
        handleReaderState();
    }
    updateHeldBytes();
    read();
}

void CallerConnection::clearPending()
{
    std::string().swap(m_pending); // clear() would keep the memory
    m_pendingStart = 0;
}

void CallerConnection::linger()
{
    if (m_phase == Phase::Closed || m_phase == Phase::Closing) {
        return;
    }
    setPhase(Phase::Closing);
    clearPending();
    updateHeldBytes();
    setResetOnClose(false);
    asio::error_code ignored; // fails if the caller has disconnected already
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void CallerConnection::setResetOnClose(bool isReset)
{
    asio::error_code ignored; // fails if the caller has disconnected already
    m_socket.set_option(asio::socket_base::linger(isReset, 0), ignored);
}

void CallerConnection::setPhase(Phase phase)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (m_phase != Phase::Answering && phase == Phase::Answering) {
        ++m_server->busyCount;
    } else if (m_phase == Phase::Answering && phase != Phase::Answering) {
        --m_server->busyCount;
    }
    m_server->openCount -= phase == Phase::Closed ? 1 : 0;
    m_phase = phase;
    m_phaseSince = std::chrono::steady_clock::now();
}

void CallerConnection::disconnect()
{
    m_server->callerDisconnects->add();
    const auto exchange = m_exchange.lock();
    close();
    if (exchange) {
        exchange->onCallerDisconnected();
    }
}

bool CallerConnection::isOpen() const
{
    return m_phase != Phase::Closed;
}

bool CallerConnection::canKeepAlive()
{
    const bool hasNextRequest = !m_pending.empty();
    if (hasNextRequest && m_server->connectionsToShed > 0 && !m_server->isDraining) {
        --m_server->connectionsToShed;
        return false;
    }
    return m_isKeepAlive && (!m_server->isDraining || hasNextRequest);
}

} // namespace Heatherridge
