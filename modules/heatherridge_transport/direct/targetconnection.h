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

/** How an exchange with a target ended without a whole answer. */
struct ExchangeFailure
{
    bool mayHaveArrived = true; ///< false only when not a byte of the request can have reached the target
    std::string reason{};
};

/** What the user of a TargetConnection is told; nothing after `complete` or `failed`. */
struct ExchangeEvents
{
    std::function<void(const HttpMessageHead &head)> head{};
    std::function<void(std::string_view bytes)> body{};
    std::function<void()> complete{}; ///< the answer is whole by its framing
    std::function<void(const ExchangeFailure &failure)> failed{};
};

/**
 * One connection to a target, for one exchange at a time. On the loop's thread alone.
 *
 * A client library's own pool hands out, on a kept connection, an answer that came unasked as the answer to the next
 * request, and gives no sign when a target answers before it has read the whole request. Here anything that is not
 * exactly one answer to the request sent makes the connection unfit: it is never used again.
 */
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    TargetConnection(asio::io_context &loop, Endpoint endpoint);

    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /**
     * Sends @p request, connecting first on first use.
     * @param connectTimeout after which a connection that is not there counts as failed, with nothing sent
     */
    void exchange(std::string request, bool isHeadRequest, std::chrono::milliseconds connectTimeout,
                  ExchangeEvents events);

    /** Drops the exchange without a further event and closes. */
    void close();

    /** Stops reading until resumeReading(), so that a slow caller holds back its target. */
    void pauseReading();

    /** @see pauseReading */
    void resumeReading();

    /** Whether another exchange may follow: the last answer ended in order and nothing came behind it. */
    bool isReusable() const;

    /** When the last exchange ended. */
    SteadyTime idleSince() const;

    /** Called once when an idle connection breaks or says something unasked. */
    void onUnusable(std::function<void()> unusable);

    /** Where it leads. */
    const Endpoint &endpoint() const;

private:
    void connect(std::chrono::milliseconds timeout);
    void write();
    void read();
    void onRead(const asio::error_code &error, std::size_t size);
    bool onHead(const HttpMessageHead &head);
    void processBytes(std::string_view bytes);
    void completeExchange(bool hasLeftover);
    void failExchange(std::string reason);
    void closeSocket();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    Endpoint m_endpoint;
    HttpMessageReader m_reader;
    ExchangeEvents m_events;
    std::function<void()> m_onUnusable;
    std::string m_request;
    std::array<char, 8192> m_buffer{};
    bool m_isHeadRequest = false;
    bool m_isOpen = false; ///< connected and not closed by either side
    bool m_isClosed = false;
    bool m_isBusy = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isWritten = false;
    bool m_mayHaveArrived = false; ///< bytes of the present request may have reached the target
    bool m_isKeepAlive = true;
    bool m_isInterim = false;
    SteadyTime m_idleSince{};
};

} // namespace Heatherridge
