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
        long maxConnectionsPerHost = 0; ///< 0: unlimited
        std::chrono::milliseconds connectTimeout{2000};
        /** Maximum number of idle connections kept open. libcurl's default, four times the number of running calls,
         * closes the connections to most targets when they are called in turn: 570 new connections in 12 s instead of
         * 60. */
        long maxIdleConnections = 256;
        /** Memory for the responses to all running calls of send() together, besides a little of each; a call fails
         * when its response grows beyond it. 0: unlimited */
        std::size_t maxHeldBytes = 0;
    };

    /** One request to one endpoint. */
    struct Call
    {
        Endpoint endpoint{};
        HttpRequest request{};
        std::chrono::milliseconds timeout{30'000}; ///< for the whole exchange
        /**
         * Whether an idle connection may be reused. libcurl resends a request on its own if a reused connection closes
         * before the first byte of the response. A call that must not be executed twice sets this to false, because a
         * request on a new connection is never retried.
         */
        bool reuseConnection = true;
        /** Largest response body; the call fails as soon as more arrives. 0: unlimited */
        std::size_t maxBodyBytes = 0;
    };

    /** Largest size of all heads of a response together, interim ones included; the call fails beyond it. */
    static constexpr std::size_t MaxHeadBytes = 64UL << 10U;

    /** Describes a call that ended without a complete response. */
    struct Failure
    {
        bool mayHaveArrived = true; ///< false if no part of the request can have reached the server
        std::string reason{};
    };

    /** Callbacks of stream(), all called on the loop's thread. */
    struct Events
    {
        std::function<void(int status, const std::vector<HttpHeader> &headers)> head{};
        /** Called with each piece of the body. Returns false to pause the transfer until resume(). */
        std::function<bool(std::string_view bytes)> data{};
        std::function<void()> finished{}; ///< the response is complete
        std::function<void(const Failure &)> failed{}; ///< the call failed; no further event follows
    };

    /** Identifies a call; ids are never reused. */
    enum class CallId : std::uint64_t {};

    /** Creates a client that runs on @p loop, which must outlive it. */
    HttpClient(asio::io_context &loop, Options options);
    /** Drops running calls without calling their callbacks. */
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts @p call and reports its response piece by piece through @p events. */
    CallId stream(Call call, Events events);

    /** Starts @p call and passes its complete response to @p done. Fails as soon as the body exceeds @p maxBytes. */
    CallId send(Call call, std::function<void(std::variant<HttpResponse, Failure>)> done,
                std::size_t maxBytes = 8UL << 20U);

    /** Resumes a call whose data callback returned false. Unknown calls are ignored. */
    void resume(CallId call);

    /** Closes the connection of @p call; no further callbacks are called. Unknown calls are ignored. */
    void cancel(CallId call);

    /** Returns the number of running calls. */
    std::size_t running() const;

    /** Sets the maximum number of idle connections kept open. @see Options::maxIdleConnections */
    void setMaxIdleConnections(long maxIdleConnections);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
