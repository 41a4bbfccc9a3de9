#include "heatherridge_transport/direct/gatewayserver.h"

#include "heatherridge_coordination/feed/crashfeed.h"
#include "heatherridge_state/decisions/connectionlimit.h"
#include "heatherridge_transport/app/daemon.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/app/processhealth.h"
#include "heatherridge_transport/direct/callerserver.h"
#include "heatherridge_transport/direct/gatewaydemand.h"
#include "heatherridge_transport/direct/gatewayduties.h"
#include "heatherridge_transport/direct/gatewayrules.h"
#include "heatherridge_transport/direct/sidecarrankclient.h"

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <thread>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/** How often the control thread performs the work that is due. */
constexpr milliseconds ControlTick{20};
/** How often the traffic thread closes idle connections and removes expired state. */
constexpr milliseconds TrafficTick{1'000};
/** How often the traffic thread publishes what is due on prompt parts that crash targets. */
constexpr milliseconds PromptPartTick{100};
/** Delay between attempts to listen for requests of metrics. */
constexpr milliseconds MetricsRetryDelay{1'000};
/** How often a gateway that shuts down checks whether all requests have finished. */
constexpr milliseconds DrainTick{50};
/** Idle connections to engines and their sidecars that are kept, per target: to each of both, one for a status or
 * counts and one for an order. A closed one would be opened again in the next round, at the cost of a handshake. */
constexpr long KeptConnectionsPerTarget = 4;
/** Further idle connections that are kept, for the platform's log and for targets that come and go. */
constexpr long ExtraKeptConnections = 64;
/** The process exits this long before the grace period ends, to log the number of aborted requests. */
constexpr milliseconds GraceMargin{250};
/** How long the process still runs after its last answer. */
constexpr milliseconds LeaveTime{50};
/** How much longer it waits until the others know that it leaves. */
constexpr milliseconds MaxLeaveWait{130};
/** What the process needs at least from the close of its sockets to its exit. */
constexpr milliseconds ExitMargin{60};
/** How long the last answers may take to be written and read. With ExitMargin below GraceMargin. */
constexpr milliseconds MaxWriteWait{50};
/** How often it checks whether they are. */
constexpr milliseconds WriteTick{5};
/** Name of the task of writing the copies of the rules, which is assigned to one gateway. */
constexpr std::string_view RulesCopiesTask = "copies-of-rules";

/** With three copies, an outage of a third of the log's partitions seldom makes all of them unreachable. */
constexpr int MaxRulesCopies = 3;

/** Limits for requests to the addresses for readiness checks and metrics, which have short heads and no bodies. */
constexpr ClientLimits ServiceLimits{.maxHeaderBytes = 8UL << 10U, .maxBodyBytes = 0};
/** Memory for the requests and responses of each of these addresses; a few expositions of metrics. */
constexpr std::size_t ServiceHeldBytes = 2UL << 20U;

CallerServer::Options serviceOptions(const Endpoint &listen)
{
    return {.listen = listen, .maxConnections = ServiceConnections, .maxHeldBytes = ServiceHeldBytes};
}

GatewayControl::Options controlOptions(const GatewayServer::Options &options)
{
    auto control = options.control;
    control.rulesCopies = std::min(MaxRulesCopies, options.logPartitions);
    return control;
}

} // namespace

class GatewayServer::Implementation
{
public:
    Implementation(Options options, Adapter adapter)
        : m_options(std::move(options))
        , m_adapter(std::move(adapter))
        , m_traffic(
              m_trafficLoop.context(),
              {.zone = m_options.zone,
               .zoneRegions = m_options.control.zoneRegions,
               .warmUpTolerance = m_options.warmUpTolerance,
               .retryBudget = m_options.retryBudget,
               .isOnlyGateway = m_options.isOnlyGateway,
               .run = m_run,
               .maxResponseBytes = m_options.maxResponseBytes,
               .refusalTime = m_options.refusalTime,
               .reportCrash =
                   [this](const auto &record) { m_controlLoop.post([this, record] { m_crashFeed.report(record); }); }},
              *m_adapter.trafficCodec, m_metrics)
        , m_callers(
              m_trafficLoop.context(),
              {.listen = m_options.listen,
               .maxConnections = m_options.maxConnections,
               .maxHeldBytes = m_options.maxHeldBytes},
              [this](const auto &exchange) { m_traffic.handle(exchange); },
              [this](ErrorKind kind) { return refusal(kind); }, m_metrics)
        , m_readiness(
              m_trafficLoop.context(), serviceOptions(m_options.readyListen),
              [this](const auto &exchange) { answerReadiness(*exchange); },
              [this](ErrorKind kind) { return refusal(kind); }, m_metrics)
        , m_metricsServer(
              m_trafficLoop.context(), serviceOptions(m_options.metricsListen),
              [this](const auto &exchange) { answerMetrics(*exchange); },
              [this](ErrorKind kind) { return refusal(kind); }, m_metrics)
        , m_client(m_controlLoop.context(), {.connectTimeout = milliseconds(500)})
        , m_logClients(m_adapter.makeLogClients(m_client,
                                                {.restored = [this](const auto &restored) { onLogRestored(restored); },
                                                 .malformed = [this](auto answer) { onLogAnswerMalformed(answer); }}))
        , m_ranks(m_client, {.port = m_options.sidecarPort}, m_adapter.makeRankControl(m_client), m_metrics)
        , m_workShare(*m_logClients.shares,
                      {.member = m_options.process.text() + "-" + std::to_string(m_entropy()),
                       .partitionCount = m_options.sharePartitions,
                       .zonePartitionCount = m_options.logPartitions})
        , m_duties(
              m_workShare, *m_logClients.largeShares,
              {.zone = m_options.zone,
               .ownSize = m_options.size.processorShare,
               .exchangesDemand = m_options.demandExchange != DemandExchangeMode::Off && m_options.sidecarPort != 0,
               .largeShare = {.member = m_options.process.text() + "-" + std::to_string(m_entropy()),
                              .partitionCount = m_options.logPartitions,
                              .zonePartitionCount = m_options.logPartitions}})
        , m_crashFeed(*m_logClients.reports, {.busyPollTimeout = GatewayControl::rulesWait(m_options.control)},
                      {.received = [this](auto records) { onCrashRecords(std::move(records)); },
                       .failed = [this](auto call, const auto &error) { onCrashFeedFailed(call, error); },
                       .lost = [this](auto what) { onCrashReportLost(what); }})
        , m_control(*m_logClients.registers, controlOptions(m_options),
                    {.rulesChanged = [this](auto table) { onRulesChanged(std::move(table)); },
                     .rulesRecordChanged = [this](const auto &record) { m_rulesExchange.setRules(record); },
                     .targetsChanged = [this](auto targets) { onTargetsChanged(std::move(targets)); },
                     .heartbeatsRead = [this](auto heartbeats) { onHeartbeatsRead(std::move(heartbeats)); },
                     .drainedZonesChanged =
                         [this](auto zones) {
                             m_trafficLoop.post([this, zones = std::move(zones)] { m_traffic.setDrainedZones(zones); });
                         },
                     .drainsRead = [this](const auto &drains) { m_rulesExchange.setDrains(drains); },
                     .reachabilityChanged = [this](bool isReachable) { onReachabilityChanged(isReachable); }},
                    m_metrics)
        , m_demand(m_client,
                   {.exchange = {.mode = m_options.demandExchange,
                                 .gateway = m_options.process,
                                 .zone = m_options.zone,
                                 .size = m_options.size,
                                 .run = toNumber(m_run)},
                    .sidecarPort = m_options.sidecarPort},
                   {.changed =
                        [this](FleetDemand demand) {
                            m_duties.setFleetDemand(demand);
                            m_trafficLoop.post(
                                [this, demand = std::move(demand)] { m_traffic.setFleetDemand(demand); });
                        },
                    .demandNeeded = [this] { m_trafficLoop.post([this] { passOwnDemand(); }); }},
                   m_metrics)
        , m_rulesExchange(
              m_client,
              {.exchange = {.zone = m_options.zone, .configTime = m_options.control.configTime, .run = toNumber(m_run)},
               .sidecarPort = m_options.sidecarPort},
              {.received = [this](const auto &record, const auto &from) { m_control.applyPeerRules(record, from); },
               .drainsReceived = [this](const auto &drains) { m_control.applyPeerDrains(drains); }},
              m_metrics)
        , m_runs(m_logClients.runs.get(),
                 {.process = m_options.process, .run = m_run, .limits = m_options.hostLimits, .seed = m_entropy()},
                 m_metrics)
    {
        m_readiness.setLimits(ServiceLimits);
        m_metricsServer.setLimits(ServiceLimits);
    }

    Result<std::vector<Endpoint>> start()
    {
        const auto readiness = m_readiness.start();
        if (const auto *error = errorIn(readiness)) {
            return *error;
        }
        auto callers = m_callers.start();
        if (const auto *error = errorIn(callers)) {
            return *error;
        }
        if (m_options.metricsListen.port != 0) {
            startMetricsServer();
        }
        m_controlLoop.start();
        m_controlLoop.post([this] { controlTick(); });
        m_controlLoop.every(ControlTick, [this] { controlTick(); });
        m_trafficLoop.start();
        m_trafficLoop.every(TrafficTick, [this] { m_traffic.tick(std::chrono::steady_clock::now()); });
        m_trafficLoop.every(PromptPartTick, [this] { m_traffic.tickPromptParts(std::chrono::steady_clock::now()); });
        return std::vector<Endpoint>{std::get<Endpoint>(callers)};
    }

    void reload(const Options &options)
    {
        m_trafficLoop.post([this, budget = options.retryBudget] { m_traffic.setRetryBudget(budget); });
    }

    void drainAndStop()
    {
        const auto drainStart = std::chrono::steady_clock::now();
        logEvent(Severity::Info, "stopping", {{"open", std::to_string(openCallCount())}});
        m_isStopping = true;
        m_controlLoop.post([this] {
            m_workShare.leave();
            m_duties.leave();
            m_runs.beginStop();
        });
        m_trafficLoop.post([this] { m_callers.beginDrain(); });
        // After half of the time, few callers still choose a kept connection.
        m_trafficLoop.after(m_options.balancerDetectionTime / 2, [this] { m_callers.closeIdleConnections(); });
        m_trafficLoop.post([this, drainStart] {
            m_traffic.beginStop({.refusesFrom = drainStart + m_options.balancerDetectionTime,
                                 .cutAt = drainStart + m_options.gracePeriod - GraceMargin - DrainTick});
        });
        waitUntilDrained(drainStart);
        m_controlLoop.post([this] { m_runs.end(); });
        if (isGraceOver(drainStart)) {
            endTraffic(drainStart); // first, as the answers take time to be written
        }
        leaveDemandExchange(drainStart);
        while (!endTraffic(drainStart)) {
            std::this_thread::sleep_for(DrainTick);
        }
        awaitAnswersWritten();
        closeSockets();
        m_trafficLoop.stop();
        m_controlLoop.stop();
    }

private:
    /** Starts to serve metrics, as soon as their address is free: requests are served without them. */
    void startMetricsServer()
    {
        const auto started = m_metricsServer.start();
        const auto *error = errorIn(started);
        m_metricsUnavailable.set(error == nullptr ? 0 : 1);
        if (error != nullptr && !m_isStopping) {
            logEvent(Severity::Warning, "metrics-unavailable", {{"reason", error->detail}});
            m_trafficLoop.after(MetricsRetryDelay, [this] { startMetricsServer(); });
        }
    }

    void leaveDemandExchange(SteadyTime drainStart)
    {
        const auto left = std::make_shared<std::promise<void>>();
        const auto isLeft = left->get_future();
        m_controlLoop.post([this, left] { m_demand.leave([left] { left->set_value(); }); });
        std::this_thread::sleep_for(LeaveTime);
        const auto until = std::min(std::chrono::steady_clock::now() + MaxLeaveWait,
                                    endOfGrace(drainStart) - ExitMargin - MaxWriteWait);
        if (isLeft.wait_until(until) != std::future_status::ready) {
            logEvent(Severity::Warning, "demand-leave-unconfirmed");
        }
    }

    void waitUntilDrained(SteadyTime drainStart)
    {
        while (true) {
            std::this_thread::sleep_until(
                std::min(std::chrono::steady_clock::now() + DrainTick, endOfGrace(drainStart) - GraceMargin));
            const auto waited = std::chrono::steady_clock::now() - drainStart;
            if (isGraceOver(drainStart) || (waited >= m_options.balancerDetectionTime && openCallCount() == 0)) {
                return;
            }
        }
    }

    SteadyTime endOfGrace(SteadyTime drainStart) const
    {
        return drainStart + m_options.gracePeriod;
    }

    bool isGraceOver(SteadyTime drainStart) const
    {
        return std::chrono::steady_clock::now() >= endOfGrace(drainStart) - GraceMargin;
    }

    /**
     * Answers the requests that are open and refuses all further ones, unless some are open and there is time left for
     * them. All in one step of the traffic thread: a request that is read between the steps would be cut.
     * @returns whether it has ended, now or earlier
     */
    bool endTraffic(SteadyTime drainStart)
    {
        m_trafficLoop.runAndWait([&] {
            const auto open = openCallCountOnTrafficThread();
            if (m_hasTrafficEnded || (open > 0 && !isGraceOver(drainStart))) {
                return;
            }
            m_hasTrafficEnded = true;
            const auto refused = m_callers.refuseArriving();
            m_traffic.endCalls();
            logEvent(Severity::Info, "stopped",
                     {{"cut", std::to_string(open)}, {"refused-arriving", std::to_string(refused)}});
        });
        return m_hasTrafficEnded;
    }

    /** Waits for the last answers to be written and read. A close discards an answer while its caller still sends. */
    void awaitAnswersWritten()
    {
        const auto until = std::chrono::steady_clock::now() + MaxWriteWait;
        const auto unfinishedConnections = [this] {
            std::size_t unfinished = 0;
            m_trafficLoop.runAndWait([&] { unfinished = m_callers.unfinishedConnections(); });
            return unfinished;
        };
        while (unfinishedConnections() > 0 && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(WriteTick);
        }
    }

    void closeSockets()
    {
        m_trafficLoop.runAndWait([this] {
            m_traffic.stop();
            m_callers.stop();
            m_readiness.stop();
            m_metricsServer.stop();
        });
    }

    std::size_t openCallCount()
    {
        std::size_t open = 0;
        m_trafficLoop.runAndWait([&] { open = openCallCountOnTrafficThread(); });
        return open;
    }

    std::size_t openCallCountOnTrafficThread() const
    {
        return std::max(m_traffic.openCallCount(), m_callers.busyConnections());
    }

    HttpResponse refusal(ErrorKind kind)
    {
        m_metrics.errors(kind).add();
        logEvent(Severity::Info, "refused", {{"kind", std::string(errorDescriptorFor(kind).name)}});
        return m_adapter.trafficCodec->errorResponse({.kind = kind}, {});
    }

    void answerMetrics(HttpExchange &exchange)
    {
        m_metrics.gauge("heatherridge_log_lines_dropped").set(static_cast<std::int64_t>(droppedLogLines()));
        exchange.respond({.body = m_metrics.exposition()});
    }

    void answerReadiness(HttpExchange &exchange)
    {
        if (exchange.request().path != m_options.readyPath) {
            exchange.respond({.status = errorDescriptorFor(ErrorKind::NotFound).httpStatus});
            return;
        }
        const bool isReady = m_traffic.isReady() && !m_isStopping;
        exchange.respond({.status = isReady ? 200 : errorDescriptorFor(ErrorKind::Draining).httpStatus});
    }

    void controlTick()
    {
        const auto now = std::chrono::steady_clock::now();
        // A duty that fails must not keep those after it from their work.
        reportingFailures([&] { m_control.tick(now, m_workShare.isMine(RulesCopiesTask)); });
        reportingFailures([&] { m_workShare.tick(now); });
        reportingFailures([&] { m_duties.tick(now); });
        reportingFailures([&] { m_crashFeed.tick(now); });
        reportingFailures([&] { m_runs.tick(now); });
        reportingFailures([&] { updateShares(); });
        const auto pollers = countPollers();
        reportingFailures([&] { m_demand.tick(now, pollers); });
        reportingFailures([&] { m_rulesExchange.tick(now, m_control.readsRules(), pollers); });
        for (auto &[service, rebalancer] : m_rebalancers) {
            reportingFailures(
                [&, &name = service, &rebalancer = rebalancer] { tickRebalancer(name, *rebalancer, pollers, now); });
        }
    }

    void tickRebalancer(const ServiceName &service, ExpertRebalancer &rebalancer, const PollerCounts &pollers,
                        SteadyTime now)
    {
        rebalancer.setActive(
            [this, &service](const GroupToAssign &group) { return m_duties.isAssigned(service, group); },
            m_duties.isConfirmed(now));
        rebalancer.setPollers(pollers);
        rebalancer.tick(now);
        m_groupSkew.set(static_cast<std::int64_t>(rebalancer.lastSkew() * 100));
    }

    /** Estimates how many gateways there are from the work that the log has assigned to this one. */
    PollerCounts countPollers() const
    {
        const auto share = m_workShare.nonZeroFraction().value_or(0);
        return {.all = share > 0 ? 1 / share : 1, .inZone = 1 / m_workShare.zoneFraction().value_or(1)};
    }

    /** Divides the retry slack, targets' limits and warm-up rates among the gateways as the log divides the work. */
    void updateShares()
    {
        auto owned = m_workShare.ownedPartitions();
        if (owned != m_ownedPartitions) {
            m_ownedPartitions = owned;
            m_trafficLoop.post([this, owned = std::move(owned)] { m_traffic.setOwnedPartitions(owned); });
        }
        const auto share = m_workShare.fraction();
        if (!share || share == m_limitShare) {
            return;
        }
        m_limitShare = share;
        const auto evenShare = m_workShare.nonZeroFraction().value_or(*share);
        // The log assigns nothing to a member that has just joined: that does not tell the number of members.
        m_trafficLoop.post([this, share = *share, evenShare, others = *share > 0 ? m_workShare.memberCount() - 1 : 0] {
            m_traffic.setShares(share, evenShare, others);
        });
    }

    /** Passes this gateway's demand from the traffic thread to the control thread. */
    void passOwnDemand()
    {
        m_controlLoop.post(
            [this, demand = m_traffic.demand(std::chrono::steady_clock::now())] { m_demand.setOwnDemand(demand); });
    }

    /** Passes the current targets to the rebalancers of services with expert groups and to the demand exchange. */
    void updateRebalancers()
    {
        const auto rules = m_control.rules();
        if (!rules) {
            return;
        }
        std::map<ServiceName, std::vector<TargetEntry>> targetsByService;
        const auto allTargets = m_control.targets();
        for (const auto &target : allTargets) {
            targetsByService[target.service].push_back(target);
        }
        m_client.setMaxIdleConnections(ExtraKeptConnections
                                       + KeptConnectionsPerTarget * static_cast<long>(allTargets.size()));
        m_demand.update(rules->config(), allTargets);
        m_rulesExchange.update(rules->config(), allTargets);
        for (const auto &service : rules->config().services) {
            if (!service.engine || service.engine->layerSets == 0) {
                continue;
            }
            auto &rebalancer = m_rebalancers[service.name];
            if (!rebalancer) {
                rebalancer = makeRebalancer();
            }
            rebalancer->setTargets(targetsByService[service.name], *service.engine,
                                   maxEventGapFor(rules->config(), service.name));
        }
    }

    std::unique_ptr<ExpertRebalancer> makeRebalancer()
    {
        const auto onDecision = [](std::string_view what, const GroupName &group, const std::string &details) {
            logEvent(Severity::Info, what, {{"group", group.text()}, {"details", details}});
        };
        const auto onEngineViews = [this](std::vector<EngineView> engines) {
            m_trafficLoop.post([this, engines = std::move(engines)] { m_traffic.updateEngines(engines); });
        };
        return std::make_unique<ExpertRebalancer>(
            m_ranks, m_options.groups,
            ExpertRebalancerEvents{.enginesUpdated = onEngineViews, .decisionMade = onDecision}, m_clock,
            [this] { return static_cast<std::uint64_t>(m_entropy()); });
    }

    void onRulesChanged(std::shared_ptr<const RouteTable> table)
    {
        updateRebalancers();
        m_trafficLoop.post([this, table = std::move(table)] {
            m_callers.setLimits(table->config().bounds);
            m_traffic.setTable(table);
        });
    }

    void onTargetsChanged(std::vector<TargetEntry> targets)
    {
        updateRebalancers();
        m_trafficLoop.post([this, targets = std::move(targets)] { m_traffic.setTargets(targets); });
    }

    void onHeartbeatsRead(std::vector<TargetHeartbeat> heartbeats)
    {
        if (m_traffic.mayExpectRestarts()) {
            m_trafficLoop.post([this, heartbeats = std::move(heartbeats)] { m_traffic.applyHeartbeats(heartbeats); });
        }
    }

    void onLogRestored(const LogRestored &restored)
    {
        m_logRestores.add();
        logEvent(Severity::Warning, "log-restored",
                 {{"before", std::to_string(restored.previousCount)},
                  {"after", std::to_string(restored.newCount)},
                  {"read-again", "rules targets copies-of-rules crash-reports"},
                  {"unconfirmed", "share-of-work"}});
        SeededRandom random(m_entropy());
        m_control.logRestored(random);
        m_workShare.logRestored();
        m_duties.logRestored();
        m_crashFeed.logRestored();
        m_runs.logRestored();
    }

    void onReachabilityChanged(bool isReachable)
    {
        m_crashFeed.restartRead();
        if (isReachable) {
            m_runs.logRegained();
        }
    }

    void onLogAnswerMalformed(std::string_view answer)
    {
        m_logAnswersMalformed.add();
        logEvent(Severity::Warning, "log-answer-malformed", {{"era", std::string(answer)}});
    }

    void onCrashRecords(std::vector<CrashRecord> records)
    {
        m_trafficLoop.post([this, records = std::move(records)] { m_traffic.applyCrashRecords(records); });
    }

    void onCrashFeedFailed(std::string_view call, const Error &error)
    {
        m_crashFeedFailures.add();
        logEvent(Severity::Warning, "crash-reports-failed", {{"call", std::string(call)}, {"reason", error.detail}});
    }

    void onCrashReportLost(std::string_view reason)
    {
        m_crashReportsLost.add();
        logEvent(Severity::Warning, "crash-report-lost", {{"reason", std::string(reason)}});
    }

    Options m_options;
    Adapter m_adapter;
    const Incarnation m_run = generateIncarnation();
    Metrics m_metrics;
    EventLoop m_trafficLoop;
    EventLoop m_controlLoop;
    std::atomic<bool> m_isStopping{false};
    bool m_hasTrafficEnded = false; ///< on the traffic thread, or between its steps
    GatewayTraffic m_traffic; ///< on the traffic thread, like the servers below
    CallerServer m_callers;
    CallerServer m_readiness;
    CallerServer m_metricsServer;
    HttpClient m_client; ///< on the control thread, like the members below
    LogClients m_logClients;
    SidecarRankClient m_ranks;
    std::random_device m_entropy;
    SystemClock m_clock;
    Gauge &m_groupSkew = m_metrics.gauge("heatherridge_group_skew_percent");
    Gauge &m_metricsUnavailable = m_metrics.gauge("heatherridge_metrics_unavailable");
    Counter &m_logRestores = m_metrics.counter("heatherridge_log_restores_total");
    Counter &m_logAnswersMalformed = m_metrics.counter("heatherridge_log_answers_malformed_total");
    Counter &m_crashFeedFailures = m_metrics.counter("heatherridge_crash_report_failures_total");
    Counter &m_crashReportsLost = m_metrics.counter("heatherridge_crash_reports_lost_total");
    WorkShare m_workShare;
    GatewayDuties m_duties;
    CrashFeed m_crashFeed;
    GatewayControl m_control;
    GatewayDemand m_demand;
    GatewayRules m_rulesExchange;
    GatewayRuns m_runs;
    std::map<ServiceName, std::unique_ptr<ExpertRebalancer>> m_rebalancers;
    std::optional<double> m_limitShare; ///< last share posted to the traffic thread
    OwnedPartitions m_ownedPartitions; ///< last ones posted to the traffic thread
};

GatewayServer::GatewayServer(Options options, Adapter adapter)
    : m_implementation(std::make_unique<Implementation>(std::move(options), std::move(adapter)))
{
}

GatewayServer::~GatewayServer() = default;

Result<std::vector<Endpoint>> GatewayServer::start()
{
    return m_implementation->start();
}

void GatewayServer::reload(const Options &options)
{
    m_implementation->reload(options);
}

void GatewayServer::drainAndStop()
{
    m_implementation->drainAndStop();
}

} // namespace Heatherridge
