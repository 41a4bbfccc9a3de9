#pragma once

#include "heatherridge_coordination/feed/logrestore.h"
#include "heatherridge_coordination/feed/reportlog.h"
#include "heatherridge_coordination/feed/workshare.h"
#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heatherridge_transport/direct/gatewaycontrol.h"
#include "heatherridge_transport/direct/gatewaytraffic.h"
#include "heatherridge_transport/http/httpclient.h"

#include <functional>
#include <memory>
#include <vector>

namespace Heatherridge
{

/**
 * The whole of a gateway: an entry that sends to targets itself. One thread for traffic, one for control state.
 *
 * What the platform spells comes in through makers, so that nothing here knows it.
 */
class GatewayServer
{
public:
    struct Options
    {
        ProcessName process{};
        ZoneName zone{};
        Endpoint listen{}; ///< for callers
        Endpoint readyListen{}; ///< for the balancer in front
        std::string readyPath{}; ///< what it asks
        Endpoint metricsListen{}; ///< port 0: no metrics are served
        FleetRetryBudgetOptions retryBudget{};
        ExpertRebalancerOptions groups{};
        int sidecarPort = 0; ///< where the processes beside model engines listen; 0: there are none
        GatewayControl::Options control{};
        int logPartitions = 1; ///< partitions of a topic of the platform's log
        std::size_t maxConnections = 1'000; ///< of callers
        std::chrono::milliseconds gracePeriod{8'000}; ///< from the signal to stop until the process is killed
        /** The balancer leaves a gateway out after two failed questions, a second apart; until then connections come.
         */
        std::chrono::milliseconds balancerDetectionTime{3'000};
    };

    /** What a gateway uses of the platform's log. */
    struct LogClients
    {
        std::unique_ptr<RegisterLog> registers{};
        std::unique_ptr<ShareLog> shares{};
        std::unique_ptr<ReportLog> reports{}; ///< on requests that end targets
    };

    /** Makes what is spelled by the platform. Called on construction. */
    struct Adapter
    {
        std::shared_ptr<const TrafficCodec> trafficCodec{};
        std::function<LogClients(HttpClient &client, LogEvents events)> makeLogClients{};
        std::function<std::unique_ptr<RankControl>(HttpClient &client)> makeRankControl{};
    };

    GatewayServer(Options options, Adapter adapter);
    ~GatewayServer();

    GatewayServer(const GatewayServer &) = delete;
    GatewayServer &operator=(const GatewayServer &) = delete;

    /** Starts all threads. @returns where callers are served, or why not */
    Result<std::vector<Endpoint>> start();

    /** Takes over what may change while it runs: the bounds of repeats. Any thread. */
    void reload(const Options &options);

    /** Graceful shutdown: not ready, new connections still answered, open requests finish. Blocks until then. */
    void drainAndStop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
