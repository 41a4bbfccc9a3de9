#pragma once

#include "heatherridge_state/routing/routingconfig.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/http/httpserver.h"

#include <functional>
#include <memory>

namespace asio
{
class io_context;
}

namespace Heatherridge
{

/**
 * HTTP/1.1 server for the callers of a gateway, on one Asio loop.
 *
 * Handles cases that HttpServer hides from its handlers: headers that are too large or arrive too slowly get their own
 * error response, a caller that disconnects is detected while its request is in progress, persistent connections are
 * closed only between requests, and the limits change with each configuration. All methods and callbacks run on the
 * loop's thread.
 */
class CallerServer
{
public:
    struct Options
    {
        Endpoint listen{}; ///< port 0 lets the kernel choose a port
        /** For a further one, the longest unused or idle connection is closed; if all are busy, the new one is. */
        std::size_t maxConnections = 1'000;
        std::size_t maxHeldBytes = 64UL << 20U; ///< memory for requests and responses, for all connections together
    };

    /** Called for each request once its body is complete. */
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
    /** Returns the response to a request that is rejected, for the reason @p kind, before it is complete. */
    using RejectionHandler = std::function<HttpResponse(ErrorKind kind)>;

    CallerServer(asio::io_context &loop, Options options, Handler handler, RejectionHandler makeRejection,
                 Metrics &metrics);
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** Starts listening. @returns the endpoint listened on, or an error of kind Internal */
    Result<Endpoint> start();

    /** Sets the limits on what callers may send from now on. */
    void setLimits(const ClientLimits &limits);

    /** Makes each further response close its connection. New connections are still served. */
    void beginDrain();

    /** Closes the persistent connections that have no request in progress and nothing left to write. */
    void closeIdleConnections();

    /**
     * Rejects what is arriving and every further request as not run, and closes their connections.
     * @returns the number of requests that were arriving
     */
    std::size_t refuseArriving();

    /** Returns the number of connections whose current response has not been written to its end. */
    std::size_t busyConnections() const;

    /** Returns the number of connections that have an answer to write, or whose caller may not have read the last one.
     */
    std::size_t unfinishedConnections() const;

    /** Stops listening and closes all connections. */
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
