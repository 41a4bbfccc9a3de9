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
 * One request and its pending response.
 *
 * Call either respond() once, or beginStream(), any number of write(), and end(). All methods may be called from any
 * thread. The server and the code that responds share ownership; destroying the exchange without a response closes the
 * connection.
 */
class HttpExchange
{
public:
    /** Called with whether the bytes were sent; false if the caller has disconnected. */
    using WriteCallback = std::function<void(bool sent)>;

    virtual ~HttpExchange() = default;

    /** Returns the request, which is valid as long as the exchange. */
    virtual const HttpRequest &request() const = 0;

    /** Sends a complete response. */
    virtual void respond(HttpResponse response) = 0;

    /** Starts a chunked response with @p status and @p headers. */
    virtual void beginStream(int status, const std::vector<HttpHeader> &headers) = 0;

    /**
     * Sends @p bytes as one chunk. @p done is called on a server thread once they are sent or the caller has
     * disconnected. Wait for it before reading more from the source; otherwise chunks for a slow reader accumulate
     * without bound.
     */
    virtual void write(std::string bytes, WriteCallback done) = 0;

    /** Completes a chunked response. */
    virtual void end() = 0;

    /**
     * Closes the connection. The caller can detect that a chunked response is truncated, because its final chunk is not
     * sent. If no response has started, none is sent.
     */
    virtual void abort() = 0;

    /** Calls @p closed once, on a server thread, if the connection closes before the response is complete. */
    virtual void onClosed(std::function<void()> closed) = 0;
};

/**
 * An HTTP/1.1 server that runs on its own threads.
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
        std::size_t maxBodyBytes = 1UL << 20U; ///< safety limit: a larger body closes the connection without a response
        std::size_t maxHeaderBytes = 16UL << 10U; ///< safety limit on one header's value, with the same effect
        std::size_t maxConnections = 10'000; ///< further connections wait in the kernel's queue
        std::chrono::milliseconds readTimeout{30'000}; ///< the connection is closed if a request takes longer to arrive
        std::chrono::milliseconds writeTimeout{
            60'000}; ///< the connection is closed if the caller reads nothing for this long
        std::chrono::milliseconds handleTimeout{3'600'000}; ///< safety limit; the handlers have their own deadlines
    };

    /** Called on a server thread for each request; must not block. */
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /** Creates a server that is not listening yet. */
    HttpServer(Options options, Handler handler);

    /** Stops the server if stop() has not been called. */
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts listening. @returns the address with the actual port, or an error of kind Internal */
    Result<Endpoint> start();

    /** Stops listening, closes all connections and joins the threads. Must not be called from a handler. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
