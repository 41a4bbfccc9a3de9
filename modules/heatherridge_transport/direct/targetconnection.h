#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/config/inventory.h"
#include "heatherridge_transport/http/httpmessagereader.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Heatherridge
{

/** Why an exchange with a target ended without a complete response. */
struct ExchangeFailure
{
    bool mayHaveArrived = true; ///< false only if no byte of the request can have reached the target
    std::string reason{};
};

/** A request as it is sent. */
struct OutgoingRequest
{
    std::string head{}; ///< up to the blank line, inclusive
    std::shared_ptr<const std::string> body{}; ///< shared with the caller's request; null if there is none
    bool isHead = false; ///< the method is HEAD, so that the response has no body
};

/** Events of one exchange on a TargetConnection. None follows `complete` or `failed`. */
struct ExchangeEvents
{
    /** Called with the memory in bytes of the head that is arriving. Returns whether it may be kept. */
    std::function<bool(std::size_t bytes)> headBytes{};
    std::function<void(const HttpMessageHead &head)> head{};
    std::function<void(std::string_view bytes)> body{};
    std::function<void()> complete{}; ///< the response is complete according to its framing
    std::function<void(const ExchangeFailure &failure)> failed{};
};

/**
 * One connection to a target, for one exchange at a time. Used only on the loop's thread.
 *
 * The connection pools of HTTP client libraries deliver an unsolicited response on a persistent connection as the
 * response to the next request, and do not report that a target responded before it read the whole request. In this
 * class, anything other than exactly one response to the sent request makes the connection unusable for further
 * exchanges.
 */
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    /** @param number identifies the connection within its pool */
    TargetConnection(asio::io_context &loop, Endpoint endpoint, std::uint64_t number);

    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /**
     * Sends @p request. The first exchange opens the connection.
     * @param connectTimeout an attempt to connect that takes longer fails, with nothing sent
     */
    void exchange(OutgoingRequest request, std::chrono::milliseconds connectTimeout, ExchangeEvents events);

    /** Cancels the exchange without further events and closes the connection. */
    void close();

    /** Stops reading until resumeReading(), so that a slow caller exerts backpressure on its target. */
    void pauseReading();

    /** Resumes reading. @see pauseReading */
    void resumeReading();

    /** Returns whether another exchange may follow: the last response ended cleanly and no data came after it. */
    bool isReusable() const;

    /** Returns whether the end of the idle connection or unsolicited data has arrived that was not read yet. */
    bool hasUnreadInput();

    /** Returns when the last exchange ended. */
    SteadyTime idleSince() const;

    /** Sets @p unusable, which is called once when the idle connection is closed or receives unsolicited data. */
    void onUnusable(std::function<void()> unusable);

    /** Returns the number of the connection within its pool. */
    std::uint64_t number() const;

    /** Returns the remote endpoint. */
    const Endpoint &endpoint() const;

private:
    void connect(std::chrono::milliseconds timeout);
    void write();
    void read();
    void awaitInput();
    void onRead(const asio::error_code &error, std::size_t size);
    void onWritten(const asio::error_code &error);
    void onEndOfStream();
    bool onHead(HttpMessageHead head);
    void processBytes(std::string_view bytes);
    void completeExchange(bool hasLeftover);
    void failExchange(std::string reason);
    void closeSocket();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    Endpoint m_endpoint;
    const std::uint64_t m_number;
    HttpMessageReader m_reader;
    ExchangeEvents m_events;
    std::function<void()> m_onUnusable;
    OutgoingRequest m_request; ///< until it is written
    std::array<char, 8192> m_buffer{};
    bool m_isHeadRequest = false;
    bool m_isOpen = false; ///< connected, and closed by neither side
    bool m_isClosed = false;
    bool m_isBusy = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isWritten = false;
    bool m_isWriting = false;
    bool m_isEndPending = false; ///< the end of the stream was read while the request was being written
    asio::error_code m_writeError; ///< of the current request
    bool m_mayHaveArrived = false; ///< bytes of the current request may have reached the target
    bool m_isKeepAlive = true;
    int m_interimHeads = 0; ///< of the current exchange
    bool m_isInterim = false;
    SteadyTime m_idleSince{};
};

} // namespace Heatherridge
