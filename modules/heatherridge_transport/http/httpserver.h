#pragma once

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Heatherridge
{

/**
 * One request on its way to its answer.
 *
 * Either respond() is called once, or beginStream(), any number of write(), and end(). All methods may be called from
 * any thread. The exchange is shared between the server and whoever answers; dropping it without an answer closes the
 * connection.
 */
class HttpExchange
{
public:
    /** Told whether the bytes left for the caller; false when the caller has gone. */
    using WriteCallback = std::function<void(bool sent)>;

    virtual ~HttpExchange() = default;

    /** What was asked. Lives as long as the exchange. */
    virtual const HttpRequest &request() const = 0;

    /** Answers in whole. */
    virtual void respond(HttpResponse response) = 0;

    /** Begins an answer in chunks with @p status and @p headers. */
    virtual void beginStream(int status, const std::vector<HttpHeader> &headers) = 0;

    /**
     * Sends @p bytes as one chunk. @p done is called, on a server thread, once they have left or the caller has gone:
     * wait for it before taking more from the source, or chunks pile up for a slow reader without bound.
     */
    virtual void write(std::string bytes, WriteCallback done) = 0;

    /** Ends an answer in chunks as complete. */
    virtual void end() = 0;

    /**
     * Closes the connection: an answer in chunks is seen to be cut off, since its closing chunk is not sent; when no
     * answer has begun, none is sent at all.
     */
    virtual void abort() = 0;

    /** Calls @p closed once, on a server thread, when the connection closes before the answer's end. */
    virtual void onClosed(std::function<void()> closed) = 0;
};

/**
 * An HTTP/1.1 server on threads of its own.
 *
 * @see HttpExchange
 */
class HttpServer
{
public:
    struct Options
    {
        Endpoint listen{}; ///< port 0 lets the kernel choose
        int threads = 1;
        std::size_t maxBodyBytes = 1UL << 20U; ///< backstop: a larger body closes the connection without an answer
        std::size_t maxHeaderBytes = 16UL << 10U; ///< backstop of one header's value, as for the body
        std::size_t maxConnections = 10'000; ///< further ones wait in the kernel's queue
        std::chrono::milliseconds readTimeout{30'000}; ///< a request that takes longer to arrive is dropped
        std::chrono::milliseconds writeTimeout{60'000}; ///< a caller that takes nothing for so long is dropped
        std::chrono::milliseconds handleTimeout{3'600'000}; ///< backstop; the handlers have deadlines of their own
    };

    /** Called on a server thread for each request; must not block. */
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /** A server that is not listening yet. */
    HttpServer(Options options, Handler handler);

    /** Stops, if stop() was not called. */
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts to listen. @returns where, with the port that the kernel chose, or an error of kind Internal. */
    Result<Endpoint> start();

    /** Stops listening, closes all connections and joins the threads. Not from a handler. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
