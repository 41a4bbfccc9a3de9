#pragma once

#include "heatherridge_protocol/crashreportcodec.h"
#include "heatherridge_state/decisions/blockedattempt.h"
#include "heatherridge_state/decisions/bufferbudget.h"
#include "heatherridge_state/decisions/fleetretrybudget.h"
#include "heatherridge_state/decisions/runningestimate.h"
#include "heatherridge_state/decisions/stopschedule.h"
#include "heatherridge_state/decisions/streamqueue.h"
#include "heatherridge_state/routing/routetable.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/direct/admissioncontrol.h"
#include "heatherridge_transport/direct/brokenattempts.h"
#include "heatherridge_transport/direct/crashguard.h"
#include "heatherridge_transport/direct/gatewaytargets.h"
#include "heatherridge_transport/direct/promptpartguard.h"
#include "heatherridge_transport/direct/targetconnectionpool.h"
#include "heatherridge_transport/direct/targetprobe.h"
#include "heatherridge_transport/http/httpserver.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace Heatherridge
{

class GatewayCall;

/**
 * The state of a gateway's traffic thread: accepts callers' requests, sends them to targets and returns the answers.
 *
 * A gateway is an entry that sends to targets itself, for platforms where no process of this project runs beside a
 * target. It does the work of such a process as far as one of several senders can: it places requests by estimated
 * load, retries within a budget that needs no coordination, and does not retry a request that must not run twice unless
 * it is proven that it has not run. All methods are called on the loop's thread.
 */
class GatewayTraffic
{
public:
    struct Options
    {
        ZoneName zone{};
        ZoneRegions zoneRegions{};
        WarmUpTolerance warmUpTolerance{};
        FleetRetryBudgetOptions retryBudget{};
        bool isOnlyGateway = false; ///< no other gateway uses the retry budget, nor did one before this one started
        Incarnation run{}; ///< identifies this run of the process
        std::size_t maxResponseBytes = 64UL << 20U; ///< of targets' responses that are buffered for all calls together
        std::chrono::milliseconds connectTimeout{300}; ///< 100 round trips; TCP resends a lost SYN only after 1 s
        std::chrono::milliseconds refusalTime = DefaultRefusalTime; ///< targets refuse what they do not take within it
        /** Called with this gateway's records on what crashes targets, to publish to the other gateways in order. */
        std::function<void(const CrashRecord &)> reportCrash{};
    };

    /** @p codec and @p metrics must outlive this object. */
    GatewayTraffic(asio::io_context &loop, Options options, const TrafficCodec &codec, Metrics &metrics);
    ~GatewayTraffic();

    GatewayTraffic(const GatewayTraffic &) = delete;
    GatewayTraffic &operator=(const GatewayTraffic &) = delete;

    /** Puts a new configuration in force. */
    void setTable(std::shared_ptr<const RouteTable> table);

    /** Replaces the registered targets. */
    void setTargets(const std::vector<TargetEntry> &entries);

    /** Sets new bounds for retries. */
    void setRetryBudget(FleetRetryBudgetOptions options);

    /**
     * Sets this gateway's share of the resources that all gateways use.
     * @param limitShare of targets' limits; the shares of all gateways must not add up to more than the whole
     * @param evenShare of the streams, assuming that all gateways have equally many
     * @param knownGateways that the log divides the work among, without this one
     */
    void setShares(double limitShare, double evenShare, int knownGateways);

    /** Replaces the availability zones that the operator has drained. */
    void setDrainedZones(const std::set<ZoneName> &zones);

    /** Sets the partitions of the log by which the retry slack and the warm-up rates of targets are divided among the
     * gateways. */
    void setOwnedPartitions(const OwnedPartitions &owned);

    /** Returns the demand of this gateway's streams by service, to state to the other gateways. */
    std::vector<ServiceDemand> demand(SteadyTime now) const;

    /** Replaces the demand at all other gateways. */
    void setFleetDemand(FleetDemand demand);

    /** Refuses requests from now on whose responses might not arrive before the process has to stop. */
    void beginStop(const StopSchedule &schedule);

    /** Applies the latest reports of engines in expert groups. */
    void updateEngines(const std::vector<EngineView> &engines);

    /** Applies the heartbeats of targets that were read from the log. */
    void applyHeartbeats(const std::vector<TargetHeartbeat> &heartbeats);

    /** @see GatewayTargets::mayExpectRestarts. Thread-safe. */
    bool mayExpectRestarts() const;

    /** Applies the records of all gateways, including this one, on what crashes targets. */
    void applyCrashRecords(const std::vector<CrashRecord> &records);

    /** Accepts or refuses a new request. */
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /** Closes idle connections and removes expired crash suspicions. Called about once a second. */
    void tick(SteadyTime now);

    /** Publishes what is due on prompt parts that crash targets. Called about every 100 ms. */
    void tickPromptParts(SteadyTime now);

    /** Returns whether a configuration is in force and a target has been registered. */
    bool isReady() const;

    /** Returns the number of requests whose answer is not complete. */
    std::size_t openCallCount() const;

    /** Ends all calls with an answer of this process; only streams that have begun break off. */
    void endCalls();

    /** Aborts all calls without an answer. */
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
        Counter &limitStatements;
        Counter &backoffStatements;
        Counter &drainingStatements;
        Counter &warmUpStatements;
        Counter &malformedStatements;
        Counter &heldBackRequests;
        DurationHistogram &streamFirstEvent;
        Counter &abandonedAnswers;
        DurationHistogram &plainAnswer;
        Gauge &retrySlackPercent;
        Gauge &responseBytesHeld;
    };

    FleetRetryBudget &retryBudgetFor(const ServiceName &service);
    RunningEstimate &firstEventDelayFor(const ServiceName &service);
    void applyTargetStatements(GatewayTarget &target, const TargetResponseFields &fields, const RequestId &request);
    void reportStatement(const TargetEntry &target, const TargetStatement &statement, const RequestId &request);
    void enqueue(const std::shared_ptr<GatewayCall> &call, const WaitingStream &stream);
    std::chrono::milliseconds expectedWait(const WaitingStream &stream, SteadyTime now) const;
    bool refuseInsteadOf(const WaitingStream &stream, std::chrono::milliseconds expectedWait);
    bool retryPlacement(std::uint64_t number);
    void admit(std::uint64_t number, SteadyTime now);
    void dequeue(std::uint64_t number);
    void armQueueTimer();
    void advanceQueue();
    /** Ends the calls that match @p blocked, a request's fingerprint or a part of a prompt. */
    template<typename Blocked>
    void cancelBlocked(const Blocked &blocked);
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const RequestId &id, const Error &error);
    void reportSlackShare(SteadyTime now);
    Result<RouteMatch> accept(const HttpRequest &request, const CallerFields &fields) const;
    void removeCall(const std::shared_ptr<GatewayCall> &call);
    /** Ends attempts whose responses hold most, stalled ones first, until the memory for responses suffices or
     * @p growing itself holds most. */
    void makeRoomFor(const GatewayCall &growing);

    asio::io_context &m_loop;
    Options m_options;
    const TrafficCodec &m_codec;
    Metrics &m_metrics;
    Counters m_counters;
    std::shared_ptr<const RouteTable> m_table;
    AdmissionControl m_admissionControl;
    GatewayTargets m_targets;
    TargetConnectionPool m_pool;
    TargetProbe m_probe;
    CrashGuard m_crashGuard;
    PromptPartGuard m_promptPartGuard;
    BrokenAttempts m_brokenAttempts;
    SeededRandom m_random;
    BufferBudget m_responseBytes; ///< of targets' responses that calls buffer
    SlackShare m_slackShare; ///< of the retry slack
    std::optional<double> m_reportedSlackShare;
    std::map<ServiceName, FleetRetryBudget> m_retryBudgets;
    std::map<ServiceName, RunningEstimate> m_firstEventDelays; ///< from sending a stream to its first event
    StreamQueue m_queue; ///< streams waiting for an engine
    std::map<std::uint64_t, std::weak_ptr<GatewayCall>> m_waitingCalls; ///< the calls of the streams in m_queue
    asio::steady_timer m_queueTimer;
    bool m_isQueueTimerArmed = false;
    std::uint64_t m_callCount = 0;
    std::unordered_set<std::shared_ptr<GatewayCall>> m_calls;
    std::optional<StopSchedule> m_stop; ///< set while the process stops
    bool m_hasTargets = false;
};

} // namespace Heatherridge
