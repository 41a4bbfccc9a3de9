#include "heatherridge_transport/direct/gatewaycall.h"

#include "heatherridge_state/decisions/placementwait.h"
#include "heatherridge_transport/direct/httptext.h"
#include "heatherridge_transport/direct/placementrefusal.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Assumed time from sending a stream to its first event, before any was measured: two passes of usual length. */
constexpr milliseconds DefaultFirstEventDelay{200};

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

GatewayCall::GatewayCall(GatewayTraffic &traffic, std::uint64_t number, std::shared_ptr<HttpExchange> exchange,
                         CallerFields fields, std::shared_ptr<const RouteTable> table, const RouteMatch &match)
    : m_traffic(traffic)
    , m_number(number)
    , m_exchange(std::move(exchange))
    , m_caller(std::make_shared<CallerResponse>(m_exchange))
    , m_callerFields(std::move(fields))
    , m_table(std::move(table))
    , m_route(*match.route)
    , m_match(match)
    , m_suspicion({traffic.m_crashGuard, traffic.m_promptPartGuard},
                  {m_exchange->request(), m_callerFields, m_match.workspace, m_service})
    , m_arrivedAt(now())
    , m_deadline(m_arrivedAt + std::min(m_route.timeout, m_callerFields.timeout.value_or(m_route.timeout)))
    , m_timer(traffic.m_loop)
    , m_failureBytes(traffic.m_responseBytes)
    , m_attemptBytes(traffic.m_responseBytes)
    , m_stream(m_callerFields.lastEventId)
{
}

void GatewayCall::start()
{
    m_service = selectWeightedService(m_route, m_traffic.m_random);
    m_traffic.retryBudgetFor(m_service).recordRequest(m_arrivedAt);
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerDisconnected();
        }
    });
    m_caller->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_connection) {
            self->m_readingSince = now();
            self->m_connection->resumeReading();
        }
    });
    if (refuseIfBlocked()) {
        return;
    }
    const DemandMeter::StreamClass streamClass{
        .service = m_service, .priority = m_match.rank, .workspace = m_match.workspace};
    auto &control = m_traffic.m_admissionControl;
    m_demand = isStream() ? control.recordArrival(streamClass, m_arrivedAt) : DemandMeter::Stream();
    if (isStream() && control.waitsBehind(m_traffic.m_queue, streamClass, m_arrivedAt)) {
        enqueue(); // behind the streams that arrived earlier
    } else {
        startAttempt();
    }
    armTimer();
}

void GatewayCall::retryPlacement()
{
    if (!m_isDone && m_isWaiting) {
        startAttempt();
        armTimer();
    }
}

void GatewayCall::refuseWaiting(milliseconds expectedWait)
{
    m_isWaiting = false;
    m_lacksCapacity = true;
    fail({.kind = ErrorKind::Overloaded, .detail = "the queue is too long", .retryAfter = expectedWait});
}

std::uint64_t GatewayCall::number() const
{
    return m_number;
}

void GatewayCall::drop()
{
    m_isDone = true;
    m_demand = {};
    m_timer.cancel();
    releaseTarget(false);
    m_caller->conclude(AbandonedCall{});
}

void GatewayCall::startAttempt()
{
    m_isWaiting = false;
    if (refuseIfBlocked()) {
        return;
    }
    const auto choice = chooseTarget();
    m_lacksCapacity = choice.target == nullptr && choice.reason == NoChoiceReason::AllFull;
    // An attempt that never reached a target adds no load, so the next one does not count as a retry.
    const bool isRetry = m_possibleArrivals > 0;
    if (choice.target != nullptr && isRetry && !m_traffic.retryBudgetFor(m_service).tryTake(now())) {
        m_traffic.m_counters.retriesDenied.add();
        m_suspicion.returnTrial();
        waitForTarget(refusalByTargets(m_possibleExecutions > 0, "retry budget exhausted"));
        return;
    }
    if (choice.target != nullptr) {
        m_traffic.m_counters.retries.add(isRetry ? 1 : 0);
        m_traffic.m_counters.resumedStreams.add(m_stream.hasBegun() ? 1 : 0);
        send(*choice.target, choice.load);
        return;
    }
    const bool isHeldTooLong = choice.heldFor && now() + *choice.heldFor >= waitDeadline();
    m_traffic.m_counters.heldBackRequests.add(isHeldTooLong ? 1 : 0);
    auto error = refusalFor(choice.reason, m_service, choice.heldFor);
    error.kind = m_possibleExecutions > 0 ? ErrorKind::BackendFailed : error.kind;
    if (isHeldTooLong || isLasting(choice.reason)) {
        fail(std::move(error));
    } else {
        waitForTarget(std::move(error));
    }
}

GatewayTargets::Choice GatewayCall::chooseTarget()
{
    using Choice = GatewayTargets::Choice;
    auto &targets = m_traffic.m_targets;
    Choice choice;
    if (m_suspicion.isSuspect()) {
        const auto avoided = m_traffic.m_crashGuard.suspectTargets().targetsToAvoid(m_tried);
        choice = targets.choose(requirements(avoided), now(), m_traffic.m_random);
    }
    if (choice.target == nullptr) {
        choice = targets.choose(requirements(m_tried), now(), m_traffic.m_random);
    }
    return choice.target == nullptr || m_suspicion.mayStart() ? choice : Choice{.reason = NoChoiceReason::PartHeld};
}

TargetRequirements GatewayCall::requirements(const std::set<TargetName> &avoided) const
{
    TargetRequirements requirements{
        .service = m_service, .tried = avoided, .urgency = urgency(), .regions = m_match.regions};
    auto &control = m_traffic.m_admissionControl;
    if (isStream() && requirements.urgency != Urgency::InProgress && control.admitsByRank(m_service)) {
        requirements.mayAdmit = [this, &control](const RankAdmission::Capacity &capacity) {
            return control.mayAdmit(m_service, m_match.rank, capacity, now());
        };
    }
    return requirements;
}

Urgency GatewayCall::urgency() const
{
    // A stream that an engine may have started takes precedence, since its caller may have received a part of it. One
    // that was refused before it ran has lost nothing.
    if (m_possibleExecutions > 0 || m_stream.hasBegun()) {
        return Urgency::InProgress;
    }
    return now() <= onTimeUntil() ? Urgency::OnTime : Urgency::Late;
}

SteadyTime GatewayCall::onTimeUntil() const
{
    // A caller that retries has already waited: the timeout that it sends is the rest of its total.
    const auto timeWaitedBefore =
        std::max(m_route.timeout - m_callerFields.timeout.value_or(m_route.timeout), milliseconds(0));
    const auto firstEventDelay = m_traffic.firstEventDelayFor(m_service).mean().value_or(DefaultFirstEventDelay);
    return m_arrivedAt + m_route.objective - timeWaitedBefore - duration_cast<milliseconds>(firstEventDelay);
}

SteadyTime GatewayCall::waitDeadline()
{
    if (!m_waitDeadline) {
        m_waitDeadline = now() + placementWait(m_route.kind, timeLeft(), m_route.objective);
    }
    return *m_waitDeadline;
}

void GatewayCall::enqueue()
{
    const auto &control = m_traffic.m_admissionControl;
    m_isOverShare = control.isOverShare(m_service, m_match.workspace);
    const WaitingStream stream{.number = m_number,
                               .service = m_service,
                               .hasStarted = urgency() == Urgency::InProgress,
                               .onTimeUntil = onTimeUntil(),
                               .rank = control.queueRank(m_service, m_match.rank),
                               .isOverShare = m_isOverShare};
    // The wait is estimated only when the stream joins the queue and when it becomes late and falls behind the
    // on-time streams; at other times it can only have moved forward.
    const bool isLate = stream.onTimeUntil < now();
    const bool needsWaitEstimate = !stream.hasStarted && m_isQueuedAsLate != isLate;
    const auto expectedWait = needsWaitEstimate ? m_traffic.expectedWait(stream, now()) : milliseconds(0);
    if (now() + expectedWait > waitDeadline() && !m_traffic.refuseInsteadOf(stream, expectedWait)) {
        refuseWaiting(expectedWait);
        return;
    }
    m_isQueuedAsLate = isLate;
    m_isWaiting = true;
    m_demand.setWaiting();
    m_traffic.enqueue(shared_from_this(), stream);
}

void GatewayCall::waitForTarget(Error error)
{
    if (now() >= waitDeadline()) {
        fail(std::move(error));
        return;
    }
    // A target that refused the request earlier may accept it now.
    m_tried.clear();
    m_isWaiting = true;
    if (m_suspicion.isHeld()) {
        m_traffic.dequeue(m_number); // streams behind it need not wait
    } else if (isStream()) {
        enqueue();
    }
    armTimer();
}

void GatewayCall::send(GatewayTarget &target, double load)
{
    m_target = target.entry.id;
    m_tried.insert(m_target);
    ++m_attempts;
    m_sentAt = now();
    m_readingSince = m_sentAt;
    m_response = {};
    m_attemptBytes.release();
    m_isAbandoningAttempt = false;
    m_suspicion.markAt(m_target);
    m_stream.beginAttempt();
    m_demand.setInProgress();
    if (target.load.ownRequests() == 0) {
        target.lastReceivedAt = m_sentAt;
    }
    m_placement = {.load = load, .wait = age()};
    if (target.engine) {
        m_placement.group = target.engine->group;
        m_placement.passTime = target.engine->passTime;
    }
    m_traffic.admit(m_number, m_sentAt);
    auto &control = m_traffic.m_admissionControl;
    if (isStream() && urgency() != Urgency::InProgress) {
        control.recordSent(m_service, m_match.rank, m_sentAt);
    }
    m_traffic.m_targets.recordSend(m_placement.group, m_sentAt);
    target.load.recordSent();
    target.admission.recordSent(m_sentAt);
    ++target.sentSinceReport;
    const auto &request = m_exchange->request();
    const auto headers = m_traffic.m_codec.forwardedHeaders(endToEndHeaders(request.headers),
                                                            {.timeLeft = timeLeft(),
                                                             .target = m_target,
                                                             .workspace = m_match.workspace,
                                                             .lastEventId = m_stream.lastEventId(),
                                                             .priority = control.enginePriority(m_service, m_match)});
    m_connection = m_traffic.m_pool.acquire(target.entry, m_usedConnections);
    m_connection->exchange({.head = requestHeadText(request.method, request.target, headers, request.body.size()),
                            .body = std::shared_ptr<const std::string>(m_exchange, &request.body),
                            .isHead = request.method == "HEAD"},
                           m_traffic.m_options.connectTimeout, exchangeEvents());
}

void GatewayCall::releaseTarget(bool keepConnection)
{
    m_suspicion.unmark();
    m_refusalDeadline.reset();
    if (!m_connection) {
        return;
    }
    m_demand.setIdle();
    const auto connection = std::exchange(m_connection, {});
    if (auto *target = m_traffic.m_targets.find(m_target)) {
        target->load.recordEnded();
    }
    if (keepConnection) {
        m_traffic.m_pool.release(m_target, connection, m_response.fields().idleTimeout);
    } else {
        connection->close();
    }
}

void GatewayCall::deliver()
{
    if (!m_caller->hasBegun()) {
        m_traffic.m_counters.plainAnswers.add();
        m_traffic.m_counters.plainAnswer.record(age());
    }
    conclude(WholeAnswer{.response = m_response.take()});
}

void GatewayCall::fail(Error error)
{
    if (m_caller->hasBegun()) {
        conclude(LocalError{.reason = outcomeText(error)});
        return;
    }
    if (m_targetFailure) {
        conclude(WholeAnswer{.response = std::move(*m_targetFailure)});
        return;
    }
    error.ran = m_possibleExecutions > 0 ? ExecutionStatus::Unknown : ExecutionStatus::No;
    m_traffic.m_metrics.errors(error.kind).add();
    if (isStream() && error.kind == ErrorKind::Overloaded) {
        error = m_traffic.m_admissionControl.refuse(std::move(error),
                                                    {.request = m_callerFields.id,
                                                     .service = m_service,
                                                     .match = m_match,
                                                     .lacksCapacity = m_lacksCapacity,
                                                     .remainingTime = timeLeft()},
                                                    now(), m_traffic.m_random);
    }
    m_retryAfter = error.retryAfter.value_or(milliseconds(0));
    conclude(LocalError{.response = m_traffic.m_codec.errorResponse(error, m_callerFields.id),
                        .reason = outcomeText(error)});
}

void GatewayCall::conclude(CallOutcome outcome)
{
    const auto conclusion = m_caller->conclude(std::move(outcome));
    finish(conclusion.outcome, conclusion.status);
}

void GatewayCall::finish(std::string_view outcome, int status)
{
    if (m_isDone) {
        return;
    }
    m_isDone = true;
    m_demand = {};
    m_timer.cancel();
    m_suspicion.returnTrial();
    logRequestEnd({.request = m_callerFields.id,
                   .route = m_route.name,
                   .service = m_service,
                   .rank = m_match.rank,
                   .isOverShare = m_isOverShare,
                   .target = m_target,
                   .placement = m_placement,
                   .attempts = m_attempts,
                   .outcome = outcome,
                   .status = status,
                   .age = age(),
                   .timeToFirstEvent = m_stream.timeToFirstEvent(),
                   .longestPause = m_stream.longestPause(),
                   .retryAfter = m_retryAfter,
                   .configVersion = m_table->config().version});
    m_traffic.removeCall(shared_from_this());
}

void GatewayCall::armTimer()
{
    if (m_isDone) {
        return;
    }
    const bool isTriedSoon = m_suspicion.isHeld() || m_suspicion.isAwaitingTrial();
    const auto nextCheck = m_isWaiting && isStream() && !isTriedSoon ? waitDeadline()
        : m_isWaiting                                                ? now() + PlacementRetryPeriod
        : isStream() || m_route.kind == RequestKind::Idempotent      ? now() + SilenceCheckPeriod
                                                                     : m_deadline;
    m_timer.expires_at(std::min({m_deadline, nextCheck, m_refusalDeadline.value_or(m_deadline)}));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (self && !error && !self->m_isDone) {
            self->onTimer();
            self->armTimer();
        }
    });
}

void GatewayCall::onTimer()
{
    if (now() >= m_deadline) {
        const auto wasSent = m_connection != nullptr || m_isProbingTarget;
        releaseTarget(false);
        m_possibleExecutions += wasSent ? 1 : 0;
        fail({.kind = ErrorKind::DeadlineExceeded, .detail = "timeout at " + m_target.text()});
        return;
    }
    if (m_isWaiting) {
        startAttempt();
        return;
    }
    if (m_refusalDeadline && now() >= *m_refusalDeadline) {
        endBlockedAttempt();
        return;
    }
    if (!m_connection) {
        return;
    }
    const auto *target = m_traffic.m_targets.find(m_target);
    const auto lastActiveAt = std::max(m_readingSince, target != nullptr ? target->lastReceivedAt : m_sentAt);
    const bool isSilentStream = isStream() && m_route.isResumable && m_stream.isResumable() && !m_caller->isFull()
        && now() - lastActiveAt > SilenceTimeout;
    const bool isSilentCall =
        m_route.kind == RequestKind::Idempotent && m_response.status() == 0 && now() - m_sentAt > m_route.objective;
    const bool mayRetry = m_possibleExecutions + 1 < m_route.maxAttempts && timeLeft() > MinAttemptTime * 2;
    if ((isSilentStream || isSilentCall) && mayRetry && canContinueElsewhere()) {
        finishAttempt(AttemptResult::TimedOut, "target sent nothing in time");
    }
}

void GatewayCall::onCallerDisconnected()
{
    if (m_isDone) {
        return;
    }
    releaseTarget(false);
    finish("caller-gone", 0);
}

bool GatewayCall::isStream() const
{
    return m_route.kind == RequestKind::EventStream;
}

milliseconds GatewayCall::timeLeft() const
{
    return std::max(milliseconds(0), duration_cast<milliseconds>(m_deadline - now()));
}

milliseconds GatewayCall::age() const
{
    return duration_cast<milliseconds>(now() - m_arrivedAt);
}

} // namespace Heatherridge
