#pragma once

#include "heatherridge_coordination/demand/demandexchange.h"
#include "heatherridge_coordination/feed/logrestore.h"
#include "heatherridge_coordination/feed/reportlog.h"
#include "heatherridge_coordination/feed/runlog.h"
#include "heatherridge_coordination/feed/workshare.h"
#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heatherridge_transport/direct/gatewaycontrol.h"
#include "heatherridge_transport/direct/gatewayruns.h"
#include "heatherridge_transport/direct/gatewaytraffic.h"
#include "heatherridge_transport/http/httpclient.h"

#include <functional>
#include <memory>
#include <vector>

namespace Heatherridge
{

/**
 * A complete gateway: an entry that sends to targets itself. One thread serves traffic, one maintains control state.
 *
 * The parts that depend on the platform are created by factories, so that nothing here depends on it.
 */
class GatewayServer
{
public:
    struct Options
    {
        ProcessName process{};
        ZoneName zone{};
        Endpoint listen{}; ///< for callers
        Endpoint readyListen{}; ///< for readiness checks by the load balancer in front
        std::string readyPath{}; ///< path of its readiness checks
        Endpoint metricsListen{}; ///< no metrics are served if the port is 0
        FleetRetryBudgetOptions retryBudget{};
        bool isOnlyGateway = false; ///< no other gateway uses the retry budget, nor did one before this one started
        WarmUpTolerance warmUpTolerance{};
        std::chrono::milliseconds refusalTime = DefaultRefusalTime; ///< targets refuse what they do not take within it
        ExpertRebalancerOptions groups{};
        int sidecarPort = 0; ///< port of the sidecars beside model engines; 0 if there are none
        DemandExchangeMode demandExchange = DemandExchangeMode::Auto;
        HostSize size{}; ///< stated to the other gateways
        GatewayControl::Options control{};
        int logPartitions = 1; ///< partitions of each topic of the platform's log
        int sharePartitions = 1; ///< partitions by which work is divided among the gateways, over several topics
        std::size_t maxConnections = 1'000; ///< of callers
        std::size_t maxHeldBytes = 64UL << 20U; ///< of callers' requests and responses
        std::size_t maxResponseBytes = 64UL << 20U; ///< of targets' responses that are not yet complete
        HostLimits hostLimits{}; ///< stated in the records of runs
        std::chrono::milliseconds gracePeriod{8'000}; ///< from the stop signal until the process is killed
        /** Time during which new connections still arrive after shutdown has begun: the balancer drops a gateway after
         * two failed readiness checks, a second apart. */
        std::chrono::milliseconds balancerDetectionTime{3'000};
    };

    /** The interfaces to the platform's log that a gateway uses. */
    struct LogClients
    {
        std::unique_ptr<RegisterLog> registers{};
        std::unique_ptr<ShareLog> shares{};
        std::unique_ptr<ShareLog> largeShares{}; ///< of duties among large gateways; joined only while it is in force
        std::unique_ptr<ReportLog> reports{}; ///< on requests that crash targets
        std::unique_ptr<RunLog> runs{}; ///< of the gateways; none are recorded if there is none
    };

    /** Creates the platform-specific parts. The factories are called on construction. */
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

    /** Starts all threads. @returns the endpoints that serve callers, or the error */
    Result<std::vector<Endpoint>> start();

    /** Applies the options that may change at run time: the bounds of retries. Callable from any thread. */
    void reload(const Options &options);

    /** Shuts down gracefully: reports not ready, still serves new connections, finishes open requests. Blocks until
     * done. */
    void drainAndStop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Heatherridge
