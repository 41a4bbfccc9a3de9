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
 * Callers' HTTP/1.1 server of a gateway, on one Asio loop.
 *
 * HttpServer hides from its handlers what a gateway has to act on: headers that are too large or too slow get an answer
 * of their own here, a caller that leaves is noticed while its request runs, kept connections end only between
 * requests, and bounds change with each configuration. All methods and callbacks on the loop's thread.
 */
class CallerServer
{
public:
    struct Options
    {
        Endpoint listen{}; ///< port 0 lets the kernel choose
        std::size_t maxConnections = 1'000; ///< further ones are closed at once; from the limit of descriptors
    };

    /** Called for each request with its whole body. */
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
    /** Answers a request that is refused before it is whole: the bad head or body, told by kind. */
    using RejectionHandler = std::function<HttpResponse(ErrorKind kind)>;

    CallerServer(asio::io_context &loop, Options options, Handler handler, RejectionHandler makeRejection,
                 Metrics &metrics);
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** Starts to listen. @returns where, or an error of kind Internal */
    Result<Endpoint> start();

    /** What callers may send from now on. */
    void setBounds(const ClientLimits &bounds);

    /** From now on each answer ends its connection. New connections are still served. */
    void beginDrain();

    /** Closes kept connections that have no request. */
    void closeIdleConnections();

    /** Connections with a request that has not been answered in whole. */
    std::size_t busyConnections() const;

    /** Closes everything. */
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
