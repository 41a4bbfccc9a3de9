#include "heatherridge_transport/direct/gatewaycall.h"

#include "heatherridge_state/decisions/placementwait.h"
#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/direct/httptext.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** When to ask again after a refusal for want of a target: entries learn of a new one within a second. */
constexpr milliseconds NoTargetRetryAfter{500};
/** When to ask again after all engines were found full: a third of the time that one takes for an answer. */
constexpr milliseconds EnginesFullRetryAfter{500};
/** When to ask again after the targets refused: a slot of a plain service comes free within this. */
constexpr milliseconds FullRetryAfter{300};

/** From sending a stream to its first event, before any was seen: two passes that keep the usual pauses. */
constexpr milliseconds UnknownFirstEvent{200};

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
    , m_fields(std::move(fields))
    , m_table(std::move(table))
    , m_route(*match.route)
    , m_match(match)
    , m_arrived(now())
    , m_deadline(m_arrived + std::min(m_route.timeout, m_fields.patience.value_or(m_route.timeout)))
    , m_timer(traffic.m_loop)
    , m_stream(m_fields.lastEvent)
{
}

void GatewayCall::begin()
{
    m_service = drawService(m_route, m_traffic.m_random);
    m_traffic.budgetOf(m_service).recordRequest(m_arrived);
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerLeft();
        }
    });
    if (refuseIfBlocked()) {
        return;
    }
    if (isStream() && m_traffic.m_queue.hasOnTimeStream(m_service, m_arrived)) {
        enqueue(); // behind those that came before it
    } else {
        attempt();
    }
    armTimer();
}

void GatewayCall::tryAgain()
{
    if (!m_isDone && m_isWaiting) {
        attempt();
        armTimer();
    }
}

std::uint64_t GatewayCall::number() const
{
    return m_number;
}

void GatewayCall::drop()
{
    m_isDone = true;
    m_timer.cancel();
    leaveTarget(false);
    m_exchange->abort();
}

void GatewayCall::attempt()
{
    m_isWaiting = false;
    if (refuseIfBlocked()) {
        return;
    }
    const auto choice = chooseTarget();
    // An attempt that never left puts no load on anybody: what follows it is the first.
    const bool isRepeat = m_arrivals > 0;
    if (choice.target != nullptr && isRepeat && !m_traffic.budgetOf(m_service).tryTake(now())) {
        m_traffic.m_counters.repeatsDenied.add();
        awaitTarget({.kind = m_mayHaveRun > 0 ? ErrorKind::BackendFailed : ErrorKind::Overloaded,
                     .detail = "no repeat left in the budget",
                     .retryAfter = FullRetryAfter});
        return;
    }
    if (choice.target != nullptr) {
        m_traffic.m_counters.repeats.add(isRepeat ? 1 : 0);
        m_traffic.m_counters.resumed.add(m_stream.hasBegun() ? 1 : 0);
        send(*choice.target, choice.load);
        return;
    }
    const auto kind = choice.isFull ? ErrorKind::Overloaded : ErrorKind::NoTarget;
    awaitTarget({.kind = m_mayHaveRun > 0 ? ErrorKind::BackendFailed : kind,
                 .detail = choice.isFull ? "all targets are full" : "no target for " + m_service.text(),
                 .retryAfter = choice.heldFor.value_or(choice.isFull ? EnginesFullRetryAfter : NoTargetRetryAfter)});
}

GatewayTargets::Choice GatewayCall::chooseTarget()
{
    auto &targets = m_traffic.m_targets;
    if (isSuspect()) {
        const auto avoided = m_traffic.m_crashGuard.places().targetsToAvoid(m_tried);
        const auto apart = targets.choose(m_service, avoided, urgency(), now(), m_traffic.m_random);
        if (apart.target != nullptr) {
            return apart;
        }
    }
    return targets.choose(m_service, m_tried, urgency(), now(), m_traffic.m_random);
}

Urgency GatewayCall::urgency() const
{
    // What an engine has worked on goes on: its caller may have the beginning. What was refused unread has lost
    // nothing.
    if (m_mayHaveRun > 0 || m_stream.hasBegun()) {
        return Urgency::InProgress;
    }
    return now() <= onTimeUntil() ? Urgency::OnTime : Urgency::Late;
}

SteadyTime GatewayCall::onTimeUntil() const
{
    // A caller that comes again has waited before: it says how much of its patience is left.
    const auto before = std::max(m_route.timeout - m_fields.patience.value_or(m_route.timeout), milliseconds(0));
    const auto firstEvent = m_traffic.firstEventsOf(m_service).mean().value_or(UnknownFirstEvent);
    return m_arrived + m_route.objective - before - duration_cast<milliseconds>(firstEvent);
}

void GatewayCall::enqueue()
{
    if (!m_waitsUntil) {
        m_waitsUntil = now() + placementWait(m_route.kind, timeLeft(), m_route.objective);
    }
    const WaitingStream stream{.number = m_number,
                               .service = m_service,
                               .hasStarted = urgency() == Urgency::InProgress,
                               .onTimeUntil = onTimeUntil()};
    // Asked when it joins and when it falls behind the timely ones: at other times it has moved up.
    const bool isLate = stream.onTimeUntil < now();
    const bool isBehind = !stream.hasStarted && m_isQueuedAsLate != isLate;
    const auto wait = isBehind ? m_traffic.m_queue.expectedWait(stream, now()) : milliseconds(0);
    if (now() + wait > *m_waitsUntil) {
        fail({.kind = ErrorKind::Overloaded, .detail = "the queue is too long", .retryAfter = wait});
        return;
    }
    m_isQueuedAsLate = isLate;
    m_isWaiting = true;
    m_traffic.enqueue(shared_from_this(), stream);
}

void GatewayCall::awaitTarget(Error error)
{
    if (!m_waitsUntil) {
        m_waitsUntil = now() + placementWait(m_route.kind, timeLeft(), m_route.objective);
    }
    if (now() >= *m_waitsUntil) {
        fail(std::move(error));
        return;
    }
    // A target that refused it a moment ago may be the one that takes it now.
    m_tried.clear();
    m_isWaiting = true;
    if (isStream()) {
        enqueue();
    }
    armTimer();
}

void GatewayCall::send(GatewayTarget &target, double load)
{
    m_target = target.entry.id;
    m_tried.insert(m_target);
    ++m_tries;
    m_sentAt = now();
    m_status = 0;
    m_headers.clear();
    m_answer = {};
    m_body.clear();
    m_isUnusable = false;
    m_hasBegun = false;
    markSuspectAt(m_target);
    m_stream.beginAttempt();
    if (target.load.ownRequests() == 0) {
        target.lastHeard = m_sentAt;
    }
    m_loadAtSend = load;
    m_passAtSend = target.engine ? target.engine->passTime : milliseconds(0);
    m_group = target.engine ? target.engine->group : GroupName();
    m_waited = age();
    m_traffic.admitted(m_number, m_sentAt);
    m_traffic.m_targets.sentTo(m_group, m_sentAt);
    target.load.recordSent();
    target.limit.recordSent(m_sentAt);
    ++target.sentSinceReport;
    const auto &request = m_exchange->request();
    const auto headers =
        m_traffic.m_codec.forwarded(endToEndHeaders(request.headers),
                                    {.timeLeft = timeLeft(),
                                     .target = m_target,
                                     .workspace = m_match.workspace,
                                     .lastEvent = m_stream.lastEvent(),
                                     .priority = isStream() ? std::optional(m_match.priority) : std::nullopt});
    m_connection = m_traffic.m_pool.take(target.entry);
    const auto self = shared_from_this();
    m_connection->exchange(requestText(request.method, request.target, headers, request.body), request.method == "HEAD",
                           m_traffic.m_options.connectTimeout,
                           {.head = [self](const HttpMessageHead &head) { self->headCame(head); },
                            .body = [self](std::string_view bytes) { self->bodyCame(bytes); },
                            .complete = [self] { self->answerEnded(); },
                            .failed = [self](const ExchangeFailure &failure) { self->exchangeFailed(failure); }});
}

void GatewayCall::headCame(const HttpMessageHead &head)
{
    m_status = head.status;
    m_headers = head.headers;
    m_answer = m_traffic.m_codec.readAnswer(head.status, head.headers);
    if (auto *target = m_traffic.m_targets.find(m_target)) {
        target->lastHeard = now();
        if (m_answer.load) {
            target->load.recordReport(m_answer.load->running + m_answer.load->waiting, target->lastHeard);
        }
        takeLimit(*target);
    }
    const bool isOther = m_answer.id != m_fields.id;
    const bool isForged = !m_answer.isSigned && !m_answer.isNotRun;
    m_isUnusable = isOther || isForged || m_answer.isEncoded;
}

void GatewayCall::takeLimit(GatewayTarget &target)
{
    // A refusal may name a limit, but does not end one by naming none.
    const bool says = m_answer.id == m_fields.id && (m_answer.isSigned || m_answer.requestsPerSecond);
    const auto limit = m_answer.requestsPerSecond;
    if (!says || !m_traffic.m_targets.takeLimit(target, limit, now(), m_traffic.m_random)) {
        return;
    }
    logEvent(Severity::Info, "target-limit",
             {{"target", target.entry.id.text()},
              {"requests-per-second", limit ? std::to_string(*limit) : std::string("none")},
              {"request", m_fields.id.text()}});
}

void GatewayCall::bodyCame(std::string_view bytes)
{
    if (auto *target = m_traffic.m_targets.find(m_target)) {
        target->lastHeard = now();
    }
    if (m_isUnusable) {
        return;
    }
    m_hasBegun = true;
    unmarkSuspect();
    if (isStream() && m_status == 200) {
        streamEvents(bytes);
        return;
    }
    if (m_body.size() + bytes.size() > MostHeld) {
        m_isUnusable = true;
        m_body.clear();
        return;
    }
    m_body.append(bytes);
}

void GatewayCall::answerEnded()
{
    if (m_isDone) {
        return;
    }
    if (isStream() && m_status == 200 && !m_isUnusable) {
        streamEnded();
        return;
    }
    attemptEnded(plainEnd(), {});
}

AttemptResult GatewayCall::plainEnd() const
{
    if (m_answer.isNotRun && m_answer.id == m_fields.id) {
        return AttemptResult::RefusedAtTarget;
    }
    if (m_isUnusable) {
        return AttemptResult::InvalidAnswer;
    }
    const bool isPromise = m_status == 408 || m_status == 421 || m_status == 429 || m_status == 503;
    if (isPromise) {
        return AttemptResult::InvalidAnswer; // the status says that it has not run, and the target does not
    }
    return m_status >= 500 ? AttemptResult::FailedAtTarget : AttemptResult::Answered;
}

void GatewayCall::exchangeFailed(const ExchangeFailure &failure)
{
    if (m_isDone) {
        return;
    }
    if (failure.isSent && !m_hasBegun) {
        brokeUnanswered(failure.reason);
        return;
    }
    attemptEnded(failure.isSent ? AttemptResult::Interrupted : AttemptResult::NeverSent, failure.reason);
}

void GatewayCall::brokeUnanswered(const std::string &reason)
{
    leaveTarget(false);
    const auto *target = m_traffic.m_targets.find(m_target);
    if (target == nullptr) {
        attemptEnded(AttemptResult::Interrupted, reason);
        return;
    }
    m_isExamined = true;
    m_traffic.m_probe.ask(target->entry, [weak = weak_from_this(), reason](Presence presence) {
        const auto self = weak.lock();
        if (!self || self->m_isDone) {
            return;
        }
        self->m_isExamined = false;
        if (presence == Presence::Gone) {
            self->m_traffic.m_crashGuard.targetDied(self->m_fields.id, self->fingerprint(), self->m_target);
        }
        self->attemptEnded(AttemptResult::Interrupted, reason);
    });
}

const RequestFingerprint &GatewayCall::fingerprint()
{
    if (!m_fingerprint) {
        const auto &request = m_exchange->request();
        const auto place = std::string(request.header("Host")) + request.target;
        m_fingerprint = fingerprintOf(m_match.workspace, request.method, place, request.body);
    }
    return *m_fingerprint;
}

bool GatewayCall::isSuspect()
{
    return !m_traffic.m_crashGuard.isIdle() && m_traffic.m_crashGuard.isSuspect(fingerprint());
}

bool GatewayCall::refuseIfBlocked()
{
    auto &guard = m_traffic.m_crashGuard;
    if (guard.isIdle() || !guard.isBlocked(fingerprint())) {
        return false;
    }
    guard.refused(fingerprint());
    fail({.kind = m_mayHaveRun > 0 ? ErrorKind::BackendFailed : ErrorKind::EndsTargets,
          .detail = "fingerprint " + toString(fingerprint())});
    return true;
}

void GatewayCall::blocked(const RequestFingerprint &request)
{
    const bool isUnderWay = m_connection != nullptr || m_isWaiting;
    if (m_isDone || m_hasBegun || !isUnderWay || fingerprint() != request) {
        return;
    }
    m_mayHaveRun += m_connection != nullptr ? 1 : 0;
    leaveTarget(false);
    refuseIfBlocked();
}

void GatewayCall::markSuspectAt(const TargetName &target)
{
    if (isSuspect()) {
        m_suspectAt = target;
        m_traffic.m_crashGuard.places().add(target);
    }
}

void GatewayCall::unmarkSuspect()
{
    if (!m_suspectAt) {
        return;
    }
    m_traffic.m_crashGuard.places().remove(*m_suspectAt);
    m_suspectAt.reset();
}

void GatewayCall::streamEvents(std::string_view bytes)
{
    for (const auto &event : m_stream.take(bytes)) {
        if (!m_isDone) {
            passOn(event);
        }
    }
}

void GatewayCall::passOn(const StreamEvent &event)
{
    const auto at = now();
    const bool isFirstOfAttempt = m_stream.lastEventAt() <= m_sentAt;
    const auto pause = m_stream.passedOn(at, age());
    if (!pause) {
        m_traffic.firstEventsOf(m_service).record(at - m_sentAt);
        m_traffic.m_counters.streamHead.record(m_stream.firstEventAfter());
        m_exchange->beginStream(m_status, m_headers);
    } else if (!isFirstOfAttempt) {
        m_traffic.m_targets.recordPause(m_group, *pause, at);
    }
    write(event.text);
}

void GatewayCall::write(const std::string &text)
{
    const auto size = text.size();
    m_unsent += size;
    if (m_unsent > MostUnsent) {
        m_connection->pauseReading();
    }
    m_exchange->write(text, [weak = weak_from_this(), size](bool) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const bool wasHeldBack = self->m_unsent > MostUnsent;
        self->m_unsent -= size;
        if (wasHeldBack && self->m_unsent <= MostUnsent && self->m_connection) {
            self->m_connection->resumeReading();
        }
    });
}

void GatewayCall::streamEnded()
{
    if (m_stream.isBroken()) {
        attemptEnded(AttemptResult::Interrupted, "the stream ended within an event");
        return;
    }
    leaveTarget(true);
    m_traffic.m_targets.record(m_target, AttemptOutcome::Succeeded, now());
    if (isSuspect()) {
        m_traffic.m_crashGuard.answered(fingerprint());
    }
    if (!m_stream.hasBegun()) {
        m_exchange->beginStream(m_status, m_headers);
    }
    m_exchange->end();
    finish("delivered", m_status);
}

void GatewayCall::attemptEnded(AttemptResult end, std::string_view reason)
{
    leaveTarget(end == AttemptResult::Answered || end == AttemptResult::FailedAtTarget
                || end == AttemptResult::RefusedAtTarget);
    if (end == AttemptResult::RefusedAtTarget) {
        m_traffic.m_targets.refused(m_target, now());
    }
    if (end == AttemptResult::Answered) {
        m_traffic.m_targets.record(m_target, AttemptOutcome::Succeeded, now());
    } else if (end != AttemptResult::RefusedAtTarget) {
        m_traffic.m_targets.record(
            m_target, end == AttemptResult::TimedOut ? AttemptOutcome::TimedOut : AttemptOutcome::Failed, now());
    }
    const bool hasRunToAnEnd = end == AttemptResult::Answered || end == AttemptResult::FailedAtTarget;
    if (hasRunToAnEnd && isSuspect()) {
        m_traffic.m_crashGuard.answered(fingerprint());
    }
    m_mayHaveRun += mayHaveRun(end) ? 1 : 0;
    m_arrivals += end != AttemptResult::NeverSent ? 1 : 0;
    const auto step = nextStep(end,
                               {.kind = m_route.kind,
                                .isResumable = m_route.isResumable,
                                .possibleRuns = m_mayHaveRun,
                                .maxRuns = m_route.maxAttempts,
                                .attempts = m_tries,
                                .hasTimeLeft = timeLeft() >= LeastTime});
    switch (step) {
    case NextStep::Deliver:
        deliver();
        return;
    case NextStep::Retry:
        repeat(end, reason);
        return;
    case NextStep::Fail:
        break;
    }
    Error error{.kind = m_mayHaveRun > 0 ? ErrorKind::BackendFailed : ErrorKind::Overloaded,
                .detail = std::string(toString(end)) + " at " + m_target.text() + " " + std::string(reason),
                .retryAfter = FullRetryAfter};
    if (mayHaveRun(end)) {
        fail(std::move(error));
    } else {
        awaitTarget(std::move(error));
    }
}

void GatewayCall::repeat(AttemptResult end, std::string_view reason)
{
    if (end == AttemptResult::FailedAtTarget && m_traffic.budgetOf(m_service).remaining(now()) < 1) {
        deliver(); // the target's own answer says more than one of this process's
        return;
    }
    logEvent(Severity::Info, "repeat",
             {{"request", m_fields.id.text()},
              {"after", std::string(toString(end))},
              {"target", m_target.text()},
              {"reason", std::string(reason)},
              {"tries", std::to_string(m_tries)},
              {"age-ms", std::to_string(age().count())}});
    attempt();
}

void GatewayCall::leaveTarget(bool keepConnection)
{
    unmarkSuspect();
    if (!m_connection) {
        return;
    }
    const auto connection = std::exchange(m_connection, {});
    if (auto *target = m_traffic.m_targets.find(m_target)) {
        target->load.recordEnded();
    }
    if (keepConnection) {
        m_traffic.m_pool.give(m_target, connection, m_answer.idleTimeout);
    } else {
        connection->close();
    }
}

void GatewayCall::deliver()
{
    m_traffic.m_counters.delivered.add();
    m_traffic.m_counters.plainAnswer.record(age());
    const int status = m_status;
    m_exchange->respond({.status = status, .headers = std::move(m_headers), .body = std::move(m_body)});
    finish(status < 400 ? "delivered" : "target-failure", status);
}

void GatewayCall::fail(Error error)
{
    if (m_stream.hasBegun()) {
        m_exchange->abort(); // the head has left: only a cut says that the rest does not come
        finish("stream-broken", 200);
        return;
    }
    error.ran = m_mayHaveRun > 0 ? Ran::Unknown : Ran::No;
    m_traffic.m_metrics.errors(error.kind).add();
    auto response = m_traffic.m_codec.refusal(error, m_fields.id);
    const int status = response.status;
    m_exchange->respond(std::move(response));
    finish(std::string(answerFor(error.kind).name) + ": " + error.detail, status);
}

void GatewayCall::finish(std::string_view outcome, int status)
{
    if (m_isDone) {
        return;
    }
    m_isDone = true;
    m_timer.cancel();
    logEvent(Severity::Info, "request",
             {{"request", m_fields.id.text()},
              {"route", m_route.name},
              {"service", m_service.text()},
              {"target", m_target.text()},
              {"group", m_group.text()},
              {"load", std::to_string(static_cast<int>(m_loadAtSend))},
              {"pass-ms", std::to_string(m_passAtSend.count())},
              {"waited-ms", std::to_string(m_waited.count())},
              {"tries", std::to_string(m_tries)},
              {"outcome", std::string(outcome)},
              {"status", std::to_string(status)},
              {"ms", std::to_string(age().count())},
              {"first-event-ms", std::to_string(m_stream.firstEventAfter().count())},
              {"longest-pause-ms", std::to_string(m_stream.longestPause().count())},
              {"config", std::to_string(m_table->config().version)}});
    m_traffic.finished(shared_from_this());
}

void GatewayCall::armTimer()
{
    if (m_isDone) {
        return;
    }
    const auto watch = m_isWaiting && isStream()                ? *m_waitsUntil
        : m_isWaiting                                           ? now() + WaitPeriod
        : isStream() || m_route.kind == RequestKind::Idempotent ? now() + WatchPeriod
                                                                : m_deadline;
    m_timer.expires_at(std::min(m_deadline, watch));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (self && !error && !self->m_isDone) {
            self->timerFired();
            self->armTimer();
        }
    });
}

void GatewayCall::timerFired()
{
    if (now() >= m_deadline) {
        const auto wasSent = m_connection != nullptr || m_isExamined;
        leaveTarget(false);
        m_mayHaveRun += wasSent ? 1 : 0;
        fail({.kind = ErrorKind::DeadlineExceeded, .detail = "timeout at " + m_target.text()});
        return;
    }
    if (m_isWaiting) {
        attempt();
        return;
    }
    if (!m_connection) {
        return;
    }
    const auto *target = m_traffic.m_targets.find(m_target);
    const bool isSilentStream = isStream() && m_route.isResumable
        && now() - std::max(m_sentAt, target != nullptr ? target->lastHeard : m_sentAt) > SilenceTimeout;
    const bool isSilentCall =
        m_route.kind == RequestKind::Idempotent && m_status == 0 && now() - m_sentAt > m_route.objective;
    const bool mayRepeat = m_mayHaveRun + 1 < m_route.maxAttempts && timeLeft() > LeastTime * 2;
    if ((isSilentStream || isSilentCall) && mayRepeat && couldGoOnElsewhere()) {
        attemptEnded(AttemptResult::TimedOut, "no sign of life");
    }
}

bool GatewayCall::couldGoOnElsewhere()
{
    // A group that stands still mostly goes on, and all its streams fall silent at once: one that finds no repeat in
    // the budget or no other engine is better left where it is.
    return m_traffic.budgetOf(m_service).remaining(now()) >= 1
        && m_traffic.m_targets.choose(m_service, m_tried, urgency(), now(), m_traffic.m_random).target != nullptr;
}

void GatewayCall::callerLeft()
{
    if (m_isDone) {
        return;
    }
    leaveTarget(false);
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
    return duration_cast<milliseconds>(now() - m_arrived);
}

} // namespace Heatherridge
