#pragma once

#include "heatherridge_state/decisions/attemptresult.h"
#include "heatherridge_state/keys/requestfingerprint.h"
#include "heatherridge_transport/direct/gatewaytraffic.h"
#include "heatherridge_transport/direct/streamprogress.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>

namespace Heatherridge
{

/**
 * One request of a caller from its arrival to its answer, over as many attempts as are allowed. On the traffic thread;
 * lives as long as GatewayTraffic or one of its operations holds it.
 */
class GatewayCall : public std::enable_shared_from_this<GatewayCall>
{
public:
    /** @param number names it among the calls of @p traffic; later ones have higher numbers */
    GatewayCall(GatewayTraffic &traffic, std::uint64_t number, std::shared_ptr<HttpExchange> exchange,
                CallerFields fields, std::shared_ptr<const RouteTable> table, const RouteMatch &match);

    /** Sends it to a first target, or refuses it. */
    void start();

    /** Looks for an engine again, while it waits for one. */
    void retryPlacement();

    std::uint64_t number() const;

    /** @p request is not to be sent to targets any more: ends this call if it is one of these and has not begun. */
    void cancelIfBlocked(const RequestFingerprint &request);

    /** Drops it without an answer. */
    void drop();

private:
    /** Bytes of an answer that wait for a slow caller before its target is held back. */
    static constexpr std::size_t MaxUnsentBytes = 256UL << 10U;
    /** Largest answer of a plain service that is held until it is whole. */
    static constexpr std::size_t MaxBufferedBodyBytes = 8UL << 20U;
    /** An attempt with less time is not worth its target's work: the shortest answers take about this long. */
    static constexpr std::chrono::milliseconds MinAttemptTime{60};
    /** How often a stream is looked at for silence. */
    static constexpr std::chrono::milliseconds SilenceCheckPeriod{200};
    /** How often a request that waits for a target looks for one: half of a pass. */
    static constexpr std::chrono::milliseconds PlacementRetryPeriod{25};
    /** A stream whose target stands still for so long goes on elsewhere; callers leave after 2 s of silence. */
    static constexpr std::chrono::milliseconds SilenceTimeout{1'100};

    void startAttempt();
    void waitForTarget(Error error);
    Urgency urgency() const;
    SteadyTime timelyUntil() const;
    void enqueue();
    void send(GatewayTarget &target, double load);
    void onResponseHead(const HttpMessageHead &head);
    void updateTargetLimit(GatewayTarget &target);
    void onResponseBody(std::string_view bytes);
    void onResponseComplete();
    void onExchangeFailed(const ExchangeFailure &failure);
    AttemptResult plainAttemptEnd() const;
    void forwardEvents(std::string_view bytes);
    void forwardEvent(const StreamEvent &event);
    void write(const std::string &text);
    void onStreamComplete();
    void finishAttempt(AttemptResult end, std::string_view reason);
    void probeTargetAfterFailure(const std::string &reason);
    const RequestFingerprint &fingerprint();
    bool isSuspect();
    bool refuseIfBlocked();
    GatewayTargets::Choice chooseTarget();
    void markSuspectAt(const TargetName &target);
    void unmarkSuspect();
    void releaseTarget(bool keepConnection);
    void retry(AttemptResult end, std::string_view reason);
    void deliver();
    void fail(Error error);
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
    CallerFields m_callerFields;
    std::shared_ptr<const RouteTable> m_table;
    const RouteRule &m_route;
    RouteMatch m_match;
    ServiceName m_service;
    SteadyTime m_arrivedAt;
    SteadyTime m_deadline;
    asio::steady_timer m_timer;
    bool m_isDone = false;
    std::optional<SteadyTime> m_waitDeadline; ///< since it first found no target
    bool m_isWaiting = false;
    std::optional<bool> m_isQueuedAsLate; ///< it waits among late streams; nothing before it waits

    std::shared_ptr<TargetConnection> m_connection; ///< of the present attempt
    TargetName m_target;
    SteadyTime m_sentAt{};
    double m_loadAtSend = 0; ///< requests that the target was thought to have, for the log
    std::chrono::milliseconds m_passTimeAtSend{0}; ///< of the group, for the log
    GroupName m_group{}; ///< the target's expert group; null when it is in none
    std::set<TargetName> m_tried;
    int m_attempts = 0;
    int m_possibleExecutions = 0;
    int m_possibleArrivals = 0; ///< attempts that may have reached a target

    int m_responseStatus = 0; ///< of the present attempt's answer; 0 before its head
    std::vector<HttpHeader> m_responseHeaders;
    TargetResponseFields m_responseFields;
    std::string m_responseBody;
    bool m_isResponseUnusable = false; ///< what has come is not an answer to this request
    bool m_hasBodyBegun = false; ///< the present attempt's target has answered with a part of a body
    bool m_isProbingTarget = false; ///< the present attempt broke off, and its target is asked whether it lives
    std::optional<TargetName> m_suspectTarget; ///< the target that has this call as a suspect
    std::optional<RequestFingerprint> m_fingerprint; ///< once it was asked for

    StreamProgress m_stream;
    std::size_t m_unsentBytes = 0;
    std::chrono::milliseconds m_placementWait{0}; ///< for a target, up to the last attempt, for the log
};

} // namespace Heatherridge
