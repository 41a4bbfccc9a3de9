#pragma once

#include "heatherridge_state/heatherridge_state.h"
#include "heatherridge_transport/http/httpexchange.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Heatherridge
{

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
