#pragma once

#include "heatherridge_state/decisions/attemptresult.h"
#include "heatherridge_state/demand/demandmeter.h"
#include "heatherridge_transport/direct/attemptbytes.h"
#include "heatherridge_transport/direct/callerresponse.h"
#include "heatherridge_transport/direct/crashsuspicion.h"
#include "heatherridge_transport/direct/gatewaytraffic.h"
#include "heatherridge_transport/direct/requestlog.h"
#include "heatherridge_transport/direct/streamprogress.h"
#include "heatherridge_transport/direct/targetresponse.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>

namespace Heatherridge
{

/**
 * Handles one request of a caller from its arrival to its answer, over as many attempts as its route allows.
 *
 * Used on the traffic thread only. Kept alive by GatewayTraffic and by its own pending operations.
 */
class GatewayCall : public std::enable_shared_from_this<GatewayCall>
{
public:
    /** @param number identifies the call within @p traffic; later calls have higher numbers */
    GatewayCall(GatewayTraffic &traffic, std::uint64_t number, std::shared_ptr<HttpExchange> exchange,
                CallerFields fields, std::shared_ptr<const RouteTable> table, const RouteMatch &match);

    /** Starts the first attempt, queues the call, or refuses it. */
    void start();

    /** Tries again to find an engine, if the call waits for one. */
    void retryPlacement();

    /**
     * Refuses the call, which waits for an engine, because all capacity is needed for others.
     * @param expectedWait until capacity would be available for it
     */
    void refuseWaiting(std::chrono::milliseconds expectedWait);

    std::uint64_t number() const;

    /**
     * Called when @p blocked, a request's fingerprint or a part of prompts, is blocked from all targets. Ends this call
     * if it matches and no body bytes of a response have arrived in the current attempt: at once, or when its target
     * can no longer be about to refuse it.
     */
    template<typename Blocked>
    void cancelIfBlocked(const Blocked &blocked)
    {
        if (!m_isDone && !m_response.hasBodyBegun() && (m_connection || m_isWaiting) && m_suspicion.matches(blocked)) {
            cancelBlocked();
        }
    }

    /** Answers the call before the process closes its connections: as not run, or with an unknown outcome. */
    void endForStop();

    /** Aborts the call without an answer. */
    void drop();

    /** Returns what the response of the current attempt holds beyond what each call may hold; no bytes if the attempt
     * cannot be ended for them. */
    BufferHolder bufferHolder() const;

    /** Ends the current attempt because of the memory that its response holds. */
    void endAttemptForMemory();

private:
    /** With less time left, no further attempt is made: the shortest answers take about this long. */
    static constexpr std::chrono::milliseconds MinAttemptTime{60};
    /** How often a stream or an idempotent request is checked for a silent target. */
    static constexpr std::chrono::milliseconds SilenceCheckPeriod{200};
    /** How often a waiting plain request looks for a target: half of an engine pass. */
    static constexpr std::chrono::milliseconds PlacementRetryPeriod{25};
    /** A stream whose target is silent for longer resumes at another one; callers disconnect after 2 s of silence. */
    static constexpr std::chrono::milliseconds SilenceTimeout{1'100};

    void startAttempt();
    void waitForTarget(Error error);
    Urgency urgency() const;
    SteadyTime onTimeUntil() const;
    SteadyTime waitDeadline();
    void enqueue();
    void send(GatewayTarget &target, double load);
    ExchangeEvents exchangeEvents();
    /** Sets the memory in bytes that the response of the current attempt takes. Returns whether it may be kept. */
    bool holdBytes(std::size_t bytes);
    void onResponseHead(const HttpMessageHead &head);
    void onResponseBody(std::string_view bytes);
    /** Ends the current attempt, whose response is not read any further. */
    /** Ends an attempt whose response is known to be useless from its head: its body need not end. */
    void leaveInvalidResponse();
    void abandonAttempt(std::string reason);
    /** Keeps the response for the caller in case no later attempt does better, unless all calls hold too much. */
    void keepTargetFailure();
    void onResponseComplete();
    void onExchangeFailed(const ExchangeFailure &failure);
    void forwardEvents(std::string_view bytes);
    void forwardEvent(const StreamEvent &event);
    void onStreamComplete();
    void finishAttempt(AttemptResult result, std::string_view reason);
    void finishBrokenAttempt(const std::string &reason);
    /** Ends the call without an attempt if it is blocked or because of a stop, or lets it wait for a trial.
     * @returns whether it did */
    bool refuseIfBlocked();
    /** Returns whether an attempt may begin at present, as far as a stop of the process is concerned. */
    bool mayAttemptInStop() const;
    bool refuseIfStopping();
    void failForStop();
    void refuseBlocked();
    void cancelBlocked();
    void endBlockedAttempt();
    GatewayTargets::Choice chooseTarget();
    TargetRequirements requirements(const std::set<TargetName> &avoided) const;
    void releaseTarget(bool keepConnection);
    void logAttempt(std::string_view event, AttemptResult result, std::string_view reason) const;
    void deliver();
    void fail(Error error);
    void conclude(CallOutcome outcome);
    void finish(std::string_view outcome, int status);
    void armTimer();
    void onTimer();
    bool canContinueElsewhere();
    void onCallerDisconnected();
    bool isStream() const;
    std::chrono::milliseconds timeLeft() const;
    std::chrono::milliseconds age() const;

    GatewayTraffic &m_traffic;
    const std::uint64_t m_number;
    std::shared_ptr<HttpExchange> m_exchange;
    std::shared_ptr<CallerResponse> m_caller;
    CallerFields m_callerFields;
    std::shared_ptr<const RouteTable> m_table;
    const RouteRule &m_route;
    RouteMatch m_match;
    CrashSuspicion m_suspicion;
    ServiceName m_service;
    SteadyTime m_arrivedAt;
    SteadyTime m_deadline;
    asio::steady_timer m_timer;
    bool m_isDone = false;
    std::optional<SteadyTime> m_waitDeadline; ///< for finding a target; set when none was found for the first time
    bool m_isWaiting = false;
    bool m_isOverShare = false; ///< whether its workspace was over its share when it last joined the queue
    std::optional<bool> m_isQueuedAsLate; ///< whether it was queued among the late streams; empty until it is queued

    bool m_lacksCapacity = false; ///< no engine has capacity for it, or the queue is too long
    std::chrono::milliseconds m_retryAfter{0}; ///< told to the caller, for the log; 0 if none

    std::shared_ptr<TargetConnection> m_connection; ///< of the current attempt
    UsedConnections m_usedConnections; ///< by all attempts
    TargetName m_target;
    SteadyTime m_sentAt{};
    SteadyTime m_readingSince{}; ///< when reading from the target began or was last resumed
    std::optional<HttpResponse>
        m_targetFailure; ///< whole answer of an earlier attempt, in case no later one does better
    AttemptBytes m_failureBytes; ///< buffered of that answer
    std::optional<SteadyTime> m_refusalDeadline; ///< for the target; set once the request is blocked while it is there
    RequestPlacement m_placement; ///< of the last attempt
    std::set<TargetName> m_tried;
    int m_attempts = 0;
    int m_possibleExecutions = 0; ///< attempts that may have executed the request
    int m_possibleArrivals = 0; ///< attempts that may have reached a target

    TargetResponse m_response; ///< of the current attempt
    AttemptBytes m_attemptBytes; ///< buffered of that response
    SteadyTime m_lastHeldAt{}; ///< when that response last grew
    bool m_isAbandoningAttempt = false;
    bool m_isProbingTarget = false; ///< the current attempt failed, and its target is being probed

    StreamProgress m_stream;
    DemandMeter::Stream m_demand; ///< counts this call while it is open, if it is a stream
};

} // namespace Heatherridge
