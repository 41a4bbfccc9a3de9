#pragma once

#include "heatherridge_state/decisions/fleetretrybudget.h"
#include "heatherridge_state/decisions/runningestimate.h"
#include "heatherridge_state/decisions/streamqueue.h"
#include "heatherridge_state/routing/routetable.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/direct/crashguard.h"
#include "heatherridge_transport/direct/gatewaytargets.h"
#include "heatherridge_transport/direct/targetconnectionpool.h"
#include "heatherridge_transport/direct/targetprobe.h"
#include "heatherridge_transport/http/httpserver.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_set>

namespace Heatherridge
{

class GatewayCall;

/**
 * The traffic thread's state of a gateway: takes callers' requests, sends them to targets and passes the answers back.
 *
 * A gateway is an entry that sends to targets itself, for platforms where nothing of this project runs beside a target.
 * What a target's process would see to is done here as far as one of several senders can: placement by estimated load,
 * repeats within a budget that needs no exchange, no repeat of what may not run twice without proof.
 * All methods on the loop's thread.
 */
class GatewayTraffic
{
public:
    struct Options
    {
        ZoneName zone{};
        FleetRetryBudgetOptions retryBudget{};
        std::chrono::milliseconds connectTimeout{300}; ///< 100 round trips; a lost opening packet is sent after 1 s
        /** Told what this gateway has seen of requests that end targets, for the other gateways. */
        std::function<void(const CrashReport &)> reportCrash{};
    };

    /** @p codec and @p metrics must outlive it. */
    GatewayTraffic(asio::io_context &loop, Options options, const TrafficCodec &codec, Metrics &metrics);
    ~GatewayTraffic();

    GatewayTraffic(const GatewayTraffic &) = delete;
    GatewayTraffic &operator=(const GatewayTraffic &) = delete;

    /** A new configuration is in force. */
    void setTable(std::shared_ptr<const RouteTable> table);

    /** The register of targets as it now is. */
    void setTargets(const std::vector<TargetEntry> &entries);

    /** Bounds of repeats, from now on. Keeps this gateway's part of the slack. */
    void setRetryBudget(FleetRetryBudgetOptions options);

    /**
     * This gateway's part of what all gateways do.
     * @param budgetShare of the slack for repeats and of targets' limits, which must not add up to more than these
     * @param evenShare of the streams, as if all had alike
     */
    void setShares(double budgetShare, double evenShare);

    /** From now on nothing is taken that could outlast the process. */
    void refuseStreams();

    /** What the engines of expert groups say of themselves. */
    void updateEngines(const std::vector<EngineView> &engines);

    /** What gateways, this one among them, have seen of requests that end targets. */
    void applyCrashReports(const std::vector<CrashReport> &reports);

    /** Takes a request. */
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /** Closes what is no longer needed. Called about once a second. */
    void tick(SteadyTime now);

    /** Whether there is a configuration and a target. */
    bool isReady() const;

    /** Requests without a whole answer. */
    std::size_t openCallCount() const;

    /** Drops all calls. */
    void stop();

private:
    friend class GatewayCall;

    struct Counters
    {
        explicit Counters(Metrics &metrics);

        Counter &requests;
        Counter &plainAnswers;
        Counter &retries;
        Counter &retriesDenied;
        Counter &resumedStreams;
        DurationHistogram &streamFirstEvent;
        DurationHistogram &plainAnswer;
    };

    FleetRetryBudget &retryBudgetFor(const ServiceName &service);
    RunningEstimate &firstEventDelayFor(const ServiceName &service);
    void enqueue(const std::shared_ptr<GatewayCall> &call, const WaitingStream &stream);
    void admit(std::uint64_t number, SteadyTime now);
    void dequeue(std::uint64_t number);
    void armQueueTimer();
    void advanceQueue();
    void cancelBlocked(const RequestFingerprint &request);
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const RequestId &id, const Error &error);
    Result<RouteMatch> accept(const HttpRequest &request, const CallerFields &fields) const;
    void removeCall(const std::shared_ptr<GatewayCall> &call);

    asio::io_context &m_loop;
    Options m_options;
    const TrafficCodec &m_codec;
    Metrics &m_metrics;
    Counters m_counters;
    std::shared_ptr<const RouteTable> m_table;
    GatewayTargets m_targets;
    TargetConnectionPool m_pool;
    TargetProbe m_probe;
    CrashGuard m_crashGuard;
    SeededRandom m_random;
    std::map<ServiceName, FleetRetryBudget> m_retryBudgets;
    std::map<ServiceName, RunningEstimate> m_firstEventDelays; ///< from sending a stream to its first event
    StreamQueue m_queue; ///< streams that wait for an engine
    std::map<std::uint64_t, std::weak_ptr<GatewayCall>> m_waitingCalls; ///< their calls
    asio::steady_timer m_queueTimer;
    bool m_isQueueTimerArmed = false;
    std::uint64_t m_callCount = 0;
    std::unordered_set<std::shared_ptr<GatewayCall>> m_calls;
    bool m_refusesStreams = false;
    bool m_hasTargets = false;
};

} // namespace Heatherridge
