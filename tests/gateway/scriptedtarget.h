#pragma once

#include "heatherridge_state/config/inventory.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Heatherridge
{

/** One thing that a scripted target does on its connection. */
struct TargetAction
{
    enum class Kind {
        Send, ///< writes `bytes`
        Wait, ///< for `pause`
        Close, ///< in order
        Reset, ///< so that bytes under way are lost
        AwaitClose, ///< until the other side closes
        Crash, ///< cuts off all connections and listens no more
    };

    Kind kind = Kind::Send;
    std::string bytes{};
    std::chrono::milliseconds duration{0};
};

/** A target on loopback that answers each request with bytes and silences as told, right or wrong. */
class ScriptedTarget
{
public:
    /** What to do about the @p number-th request (from 0) with the text @p request. */
    using Script = std::function<std::vector<TargetAction>(const std::string &request, int requestIndex)>;

    explicit ScriptedTarget(Script script);
    ~ScriptedTarget();

    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    /** Where it listens. */
    Endpoint endpoint() const;

    /** All requests so far, head and body. */
    std::vector<std::string> requests() const;

    /** Whether it has crashed. */
    bool hasCrashed() const;

    /** Connections that the other side has closed. */
    int peerCloseCount() const;

    /** Those of them that it has reset. */
    int peerResetCount() const;

private:
    void serveConnection(asio::ip::tcp::socket socket);
    void serveRequests(asio::ip::tcp::socket &socket);
    bool perform(asio::ip::tcp::socket &socket, const TargetAction &action);
    void crash();

    Script m_script;
    asio::io_context m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::set<int> m_openHandles; ///< native handles of connections
    std::vector<std::thread> m_threads;
    std::atomic<int> m_peerCloseCount{0};
    std::atomic<int> m_peerResetCount{0};
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_hasCrashed{false};
    std::thread m_acceptThread;
};

/** The value of header @p name in the text @p request. */
std::string requestHeader(const std::string &request, const std::string &name);

/** A whole signed answer to @p request. */
std::string signedResponse(const std::string &request, const std::string &body, int status = 200,
                           const std::string &extraHeaders = {});

} // namespace Heatherridge
