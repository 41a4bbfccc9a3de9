#pragma once

#include "heatherridge_state/decisions/bufferbudget.h"
#include "heatherridge_state/decisions/connectionretention.h"
#include "heatherridge_state/routing/routingconfig.h"
#include "heatherridge_transport/direct/callerserver.h"
#include "heatherridge_transport/http/httpmessagereader.h"

#include <asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <memory>
#include <string>

namespace Heatherridge
{

class CallerExchange;

/** State that all connections of one CallerServer share. */
struct CallerServerState
{
    CallerServerState(std::size_t maxHeldBytes, std::size_t maxPending)
        : maxPendingBytes(maxPending)
        , buffers(maxHeldBytes)
    {
    }

    CallerServer::Handler handler{};
    CallerServer::RejectionHandler makeRejection{};
    ClientLimits limits{};
    bool isDraining = false;
    bool isRefusing = false; ///< rejects requests as soon as they begin to arrive
    std::size_t openCount = 0; ///< connections that are not closed
    std::size_t connectionsToShed =
        0; ///< connections with pipelined requests that close after their next response, while there is no room
    std::size_t maxPendingBytes; ///< of pipelined requests on one connection; above it, reading stops until the
                                 ///< response is finished
    std::size_t busyCount = 0; ///< connections with a request whose response is not yet written
    BufferBudget buffers; ///< of all connections
    std::function<void()> buffersExceeded{}; ///< called when the connections hold too much together
    Counter *headTimeouts = nullptr;
    Counter *idleTimeouts = nullptr;
    Counter *callerDisconnects = nullptr;
    Counter *responsesOutOfOrder = nullptr;
};

/**
 * One caller's connection: reads requests one at a time and writes their responses.
 *
 * Used only on the loop's thread. Kept alive by pending socket operations and by the exchange in progress.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /** How long a closing connection waits for the caller to close; a reset could discard the last response. */
    static constexpr std::chrono::milliseconds LingerTimeout{1'000};
    /** A write that takes longer than this disconnects the caller. */
    static constexpr std::chrono::milliseconds WriteTimeout{15'000};
    /** A caller that has for longer sent nothing of its request, or read nothing of its response, ends before others.
     */
    static constexpr std::chrono::milliseconds StallTime{1'000};

    CallerConnection(asio::ip::tcp::socket socket, std::shared_ptr<CallerServerState> server);
    ~CallerConnection();

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** Starts reading. */
    void start();

    /** Enforces the timeouts at the time @p now. Called every few hundred milliseconds. */
    void tick(SteadyTime now);

    /** Returns the memory in bytes that it holds for requests and responses. */
    std::size_t heldBytes() const;

    /** Returns why it holds bytes at the time @p now. */
    HoldingStage holdingStage(SteadyTime now) const;

    /** Returns what it is in use for at the time @p now. */
    RetainedConnection retention(SteadyTime now) const;

    /** Ends the connection because it holds too much: rejects a request that is arriving, closes it otherwise. */
    void endForMemory();

    /** Closes the connection unless a request is in progress or its response is not yet written. */
    void closeIfIdle();

    /** Rejects the request that is arriving, if any. @returns whether there was one */
    bool refuseIfArriving();

    /** Closes the connection immediately. */
    void close();

    /** Closes the connection immediately, and ends the exchange that is in progress as if the caller had closed it. */
    void disconnect();

    bool isOpen() const;

private:
    friend class CallerExchange;

    enum class Phase {
        Waiting, ///< until the first byte of a request arrives
        Receiving,
        Answering, ///< until the response has been written
        Closing, ///< the last response has been written
        Closed,
    };

    void read();
    void onRead(const asio::error_code &error, std::size_t size);
    /** Parses @p bytes up to the end of the current request. @returns the number of bytes consumed */
    std::size_t feedReader(std::string_view bytes);
    void handleReaderState();
    bool onHead(HttpMessageHead head);
    void dispatchRequest();
    void reject(ErrorKind kind);
    void send(std::string bytes, HttpExchange::WriteCallback done);
    void writeNext();
    void onResponseFinished(bool keepAlive);
    /** Closes the connection or starts the next request if the response is finished and nothing is left to write. The
     * end of a write leads here, so that requests which are answered at once do not nest. */
    void continueWhenWritten();
    void startNextRequest();
    /**
     * Closes the connection in the middle of a response. That may reset it, and a reset discards what the caller has
     * not yet received: it waits for earlier responses on the connection first.
     */
    void abort();
    /** Returns whether the system has bytes that the caller's host has not yet received. */
    bool hasUnacknowledgedBytes();
    void clearPending();
    void linger();
    /**
     * Sets whether any close, even by the end of the process, resets the connection. A response with neither length nor
     * chunks needs it until it is complete, because an orderly close is the sign of its end.
     */
    void setResetOnClose(bool isReset);
    void setPhase(Phase phase);
    void updateHeldBytes();
    /** Returns whether the response that is about to be sent leaves the connection open. While the server drains, it
     * does so only if a part of a further request has been read. */
    bool canKeepAlive();
    /** Returns whether the caller has stopped reading. */
    bool isUnread(SteadyTime now) const;

    struct PendingWrite
    {
        std::string bytes{};
        HttpExchange::WriteCallback done{};
    };

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<CallerServerState> m_server;
    HttpMessageReader m_reader;
    std::array<char, 8192> m_buffer{};
    std::string m_pending; ///< bytes received after the current request, from m_pendingStart on
    std::size_t m_pendingStart = 0;
    HttpRequest m_request;
    std::size_t m_headBytes = 0; ///< memory for the head of the request in progress
    std::size_t m_bodyBytes = 0; ///< size of its body
    std::size_t m_unsentBytes = 0; ///< of responses
    std::size_t m_countedBytes = 0; ///< held bytes as last counted in the budget
    bool m_isKeepAlive = true; ///< the current request allows reuse of the connection
    bool m_isHttp10 = false;
    bool m_expectsContinue = false;
    std::optional<ErrorKind> m_rejection; ///< why the current request is rejected
    std::weak_ptr<CallerExchange> m_exchange; ///< of the current request
    std::deque<PendingWrite> m_pendingWrites;
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_closeWhenWritten = false;
    bool m_hasAnsweredBefore = false; ///< earlier requests on this connection
    std::optional<SteadyTime> m_abortedAt; ///< closes once earlier responses have arrived
    bool m_isResponseFinished = false; ///< though maybe not yet written
    Phase m_phase = Phase::Waiting;
    SteadyTime m_phaseSince{};
    SteadyTime m_connectedAt{};
    SteadyTime m_receivedAt{}; ///< last bytes of the caller
    SteadyTime m_writeStartedAt{};
    SteadyTime m_writeProgressAt{}; ///< when the caller's host last took bytes of the write in progress
};

} // namespace Heatherridge
