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
    void begin();

    /** Looks for an engine again, while it waits for one. */
    void tryAgain();

    std::uint64_t number() const;

    /** @p request is not to be sent to targets any more: ends this call if it is one of these and has not begun. */
    void blocked(const RequestFingerprint &request);

    /** Drops it without an answer. */
    void drop();

private:
    /** Bytes of an answer that wait for a slow caller before its target is held back. */
    static constexpr std::size_t MostUnsent = 256UL << 10U;
    /** Largest answer of a plain service that is held until it is whole. */
    static constexpr std::size_t MostHeld = 8UL << 20U;
    /** An attempt with less time is not worth its target's work: the shortest answers take about this long. */
    static constexpr std::chrono::milliseconds LeastTime{60};
    /** How often a stream is looked at for silence. */
    static constexpr std::chrono::milliseconds WatchPeriod{200};
    /** How often a request that waits for a target looks for one: half of a pass. */
    static constexpr std::chrono::milliseconds WaitPeriod{25};
    /** A stream whose target stands still for so long goes on elsewhere; callers leave after 2 s of silence. */
    static constexpr std::chrono::milliseconds SilenceTimeout{1'100};

    void attempt();
    void awaitTarget(Error error);
    Urgency urgency() const;
    SteadyTime onTimeUntil() const;
    void enqueue();
    void send(GatewayTarget &target, double load);
    void headCame(const HttpMessageHead &head);
    void takeLimit(GatewayTarget &target);
    void bodyCame(std::string_view bytes);
    void answerEnded();
    void exchangeFailed(const ExchangeFailure &failure);
    AttemptResult plainEnd() const;
    void streamEvents(std::string_view bytes);
    void passOn(const StreamEvent &event);
    void write(const std::string &text);
    void streamEnded();
    void attemptEnded(AttemptResult end, std::string_view reason);
    void brokeUnanswered(const std::string &reason);
    const RequestFingerprint &fingerprint();
    bool isSuspect();
    bool refuseIfBlocked();
    GatewayTargets::Choice chooseTarget();
    void markSuspectAt(const TargetName &target);
    void unmarkSuspect();
    void leaveTarget(bool keepConnection);
    void repeat(AttemptResult end, std::string_view reason);
    void deliver();
    void fail(Error error);
    void finish(std::string_view outcome, int status);
    void armTimer();
    void timerFired();
    bool couldGoOnElsewhere();
    void callerLeft();
    bool isStream() const;
    std::chrono::milliseconds timeLeft() const;
    std::chrono::milliseconds age() const;

    GatewayTraffic &m_traffic;
    const std::uint64_t m_number;
    std::shared_ptr<HttpExchange> m_exchange;
    CallerFields m_fields;
    std::shared_ptr<const RouteTable> m_table;
    const RouteRule &m_route;
    RouteMatch m_match;
    ServiceName m_service;
    SteadyTime m_arrived;
    SteadyTime m_deadline;
    asio::steady_timer m_timer;
    bool m_isDone = false;
    std::optional<SteadyTime> m_waitsUntil; ///< since it first found no target
    bool m_isWaiting = false;
    std::optional<bool> m_isQueuedAsLate; ///< it waits among late streams; nothing before it waits

    std::shared_ptr<TargetConnection> m_connection; ///< of the present attempt
    TargetName m_target;
    SteadyTime m_sentAt{};
    double m_loadAtSend = 0; ///< requests that the target was thought to have, for the log
    std::chrono::milliseconds m_passAtSend{0}; ///< of the group, for the log
    GroupName m_group{}; ///< the target's expert group; null when it is in none
    std::set<TargetName> m_tried;
    int m_tries = 0;
    int m_mayHaveRun = 0;
    int m_arrivals = 0; ///< attempts that may have reached a target

    int m_status = 0; ///< of the present attempt's answer; 0 before its head
    std::vector<HttpHeader> m_headers;
    TargetAnswerFields m_answer;
    std::string m_body;
    bool m_isUnusable = false; ///< what has come is not an answer to this request
    bool m_hasBegun = false; ///< the present attempt's target has answered with a part of a body
    bool m_isExamined = false; ///< the present attempt broke off, and its target is asked whether it lives
    std::optional<TargetName> m_suspectAt; ///< the target that has this call as a suspect
    std::optional<RequestFingerprint> m_fingerprint; ///< once it was asked for

    StreamProgress m_stream;
    std::size_t m_unsent = 0;
    std::chrono::milliseconds m_waited{0}; ///< for a target, up to the last attempt, for the log
};

} // namespace Heatherridge
