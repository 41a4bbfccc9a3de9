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
 * The whole of the process beside a target: traffic thread, control thread, and a small HTTP server for the operator.
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
        Endpoint hostList{}; ///< the platform's host list; port 0 when it is not used
        std::vector<Endpoint> peers{}; ///< gates that are asked for a state while there is no inventory
        std::chrono::milliseconds drainTimeout{60'000}; ///< longest wait for running requests at shutdown
    };

    explicit TargetServer(Options options);
    ~TargetServer();

    TargetServer(const TargetServer &) = delete;
    TargetServer &operator=(const TargetServer &) = delete;

    /** Starts all threads. @returns where it serves entries, then the operator; or why not */
    Result<std::vector<Endpoint>> start();

    /**
     * Graceful shutdown: waiting requests are handed back as not run, running ones end, then all threads stop.
     * Blocks until then, at most for the drain timeout.
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
