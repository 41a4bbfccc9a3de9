#pragma once

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace asio
{
class io_context;
}

namespace Heatherridge
{

/**
 * An HTTP/1.1 client on an Asio loop (libcurl's multi-socket interface).
 *
 * All methods must be called, and all callbacks are called, on the thread that runs the loop.
 */
class HttpClient
{
public:
    struct Options
    {
        long maxConnectionsPerHost = 0; ///< 0: no bound
        std::chrono::milliseconds connectTimeout{2000};
        /** Idle connections that are kept. libcurl's own bound, four times the running calls, closes those to all but a
         * few of the targets that are asked in turn: 570 new connections in 12 s instead of 60. */
        long maxIdleConnections = 256;
    };

    /** One request to one endpoint. */
    struct Call
    {
        Endpoint endpoint{};
        HttpRequest request{};
        std::chrono::milliseconds timeout{30'000}; ///< for the whole exchange
        /**
         * Whether an idle connection may be used again. libcurl sends a request a second time by itself when a
         * reused connection closes before the first byte of an answer; a call that must not run twice sets this to
         * false, because a fresh connection is never retried.
         */
        bool reuseConnection = true;
    };

    /** How a call ended without a whole answer. */
    struct Failure
    {
        bool mayHaveArrived = true; ///< false when nothing of the request can have reached the server
        std::string reason{};
    };

    /** What a caller of stream() is told; each on the loop's thread. */
    struct Events
    {
        std::function<void(int status, const std::vector<HttpHeader> &headers)> head{};
        /** A piece of the body. Returns false to pause the transfer until resume(). */
        std::function<bool(std::string_view bytes)> data{};
        std::function<void()> finished{}; ///< the answer is whole
        std::function<void(const Failure &)> failed{}; ///< it is not; no event follows
    };

    /** Names a running call; never used twice. */
    enum class CallId : std::uint64_t {};

    /** A client on @p loop, which must outlive it. */
    HttpClient(asio::io_context &loop, Options options);
    /** Drops running calls without calling back. */
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts @p call, whose answer comes piece by piece through @p events. */
    CallId stream(Call call, Events events);

    /** Starts @p call and gives its whole answer to @p done; at most @p maxBytes of body. */
    CallId send(Call call, std::function<void(std::variant<HttpResponse, Failure>)> done,
                std::size_t maxBytes = 64UL << 20U);

    /** Goes on with a call whose data event returned false. Unknown calls are ignored. */
    void resume(CallId call);

    /** Closes the connection of @p call; no further event is called. Unknown calls are ignored. */
    void cancel(CallId call);

    /** How many calls are running. */
    std::size_t running() const;

    /** Idle connections that are kept from now on. @see Options::maxIdleConnections */
    void setMaxIdleConnections(long maxIdleConnections);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
