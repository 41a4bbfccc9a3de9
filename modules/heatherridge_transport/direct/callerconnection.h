#pragma once

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

/** What all connections of one CallerServer share. */
struct CallerServerState
{
    CallerServer::Handler handler{};
    CallerServer::RejectionHandler makeRejection{};
    ClientLimits bounds{};
    bool isDraining = false;
    std::size_t busyCount = 0; ///< connections with an unanswered request
    Counter *headTimeouts = nullptr;
    Counter *idleTimeouts = nullptr;
    Counter *callerDisconnects = nullptr;
};

/**
 * One connection of a caller: reads requests, one at a time, and writes their answers. On the loop's thread alone;
 * lives as long as an operation on its socket or an exchange holds it.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /** Bytes of later requests that are kept while one is answered; a caller that sends more is not read. */
    static constexpr std::size_t MaxPendingBytes = 64UL << 10U;
    /** How long a closing connection waits for the caller's own close, so that the last answer is not reset away. */
    static constexpr std::chrono::milliseconds LingerTimeout{1'000};
    /** A caller that takes nothing of its answer for so long is dropped. */
    static constexpr std::chrono::milliseconds WriteTimeout{15'000};

    CallerConnection(asio::ip::tcp::socket socket, std::shared_ptr<CallerServerState> server);
    ~CallerConnection();

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** Begins to read. */
    void start();

    /** Ends what has waited too long. Called every few hundred milliseconds. */
    void tick(SteadyTime now);

    /** Closes the connection unless a request is on its way. */
    void closeIfIdle();

    /** Closes at once. */
    void close();

private:
    friend class CallerExchange;

    enum class Phase {
        Waiting, ///< for the first byte of a request
        Receiving,
        Answering,
        Closing, ///< the last answer has been written
        Closed,
    };

    void read();
    void onRead(const asio::error_code &error, std::size_t size);
    void processBytes(std::string_view bytes);
    bool onHead(const HttpMessageHead &head);
    void dispatchRequest();
    void reject(ErrorKind kind);
    void send(std::string bytes, HttpExchange::Written done);
    void writeNext();
    void onResponseFinished(bool keepAlive);
    void startNextRequest();
    void linger();
    void setPhase(Phase phase);
    void onCallerDisconnected();
    bool canKeepAlive() const;

    struct PendingWrite
    {
        std::string bytes{};
        HttpExchange::Written done{};
    };

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<CallerServerState> m_server;
    HttpMessageReader m_reader;
    std::array<char, 8192> m_buffer{};
    std::string m_pending; ///< bytes behind the present request
    HttpRequest m_request;
    bool m_isKeepAlive = true; ///< the caller keeps the connection
    bool m_isHttp10 = false;
    bool m_expectsContinue = false;
    std::optional<ErrorKind> m_rejection; ///< why the present request is not taken
    std::weak_ptr<CallerExchange> m_exchange; ///< of the present request
    std::deque<PendingWrite> m_pendingWrites;
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_closeWhenWritten = false;
    Phase m_phase = Phase::Waiting;
    SteadyTime m_phaseSince{};
    SteadyTime m_writeStartedAt{};
};

} // namespace Heatherridge
