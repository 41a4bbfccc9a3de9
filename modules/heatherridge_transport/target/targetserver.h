#pragma once

#include "heatherridge_transport/app/controlplane.h"
#include "heatherridge_transport/http/httpserver.h"
#include "heatherridge_transport/target/groupagent.h"
#include "heatherridge_transport/target/targettraffic.h"

#include <atomic>
#include <memory>

namespace Heatherridge
{

/**
 * The complete process beside a target: traffic thread, control thread, and a small HTTP server for the operator.
 */
class TargetServer
{
public:
    struct Options
    {
        TargetName target{};
        Incarnation incarnation{};
        ZoneName zone{};
        Endpoint listen{}; ///< for entries
        Endpoint admin{}; ///< for the operator and for scrapes of metrics
        Endpoint logService{};
        Endpoint hostList{}; ///< the platform's host list; port 0 if it is not used
        std::vector<Endpoint> peers{}; ///< gates from which the state is requested while there is no inventory
        std::chrono::milliseconds drainTimeout{60'000}; ///< maximum wait for running requests at shutdown
    };

    explicit TargetServer(Options options);
    ~TargetServer();

    TargetServer(const TargetServer &) = delete;
    TargetServer &operator=(const TargetServer &) = delete;

    /** Starts all threads. @returns the endpoint for entries, then the one for the operator; or the error */
    Result<std::vector<Endpoint>> start();

    /**
     * Shuts down gracefully: waiting requests are refused as not run, running ones complete, then all threads stop.
     * Blocks until then, waiting for running requests for at most the drain timeout.
     */
    void drainAndStop();

private:
    HttpResponse handleRequest(const HttpRequest &request);
    HttpResponse status();

    Options m_options;
    Metrics m_metrics;
    ControlPlane m_control;
    TargetTraffic m_traffic;
    GroupAgent m_group;
    std::unique_ptr<HttpServer> m_server;
    std::atomic<bool> m_draining{false};
};

} // namespace Heatherridge
