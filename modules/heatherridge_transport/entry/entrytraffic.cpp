#include "heatherridge_transport/entry/entrytraffic.h"

#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/app/problem.h"
#include "heatherridge_transport/entry/entrycall.h"

#include <asio/io_context.hpp>

#include <algorithm>
#include <array>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds LinkTickInterval{10};
/** The key gates of a service agree on a shard's holder within seconds; further redirects before then do not help to
 * find it. */
constexpr int MaxRedirects = 3;
/** Minimum time before the deadline at which another attempt is still made. */
constexpr std::chrono::milliseconds MinAttemptTime{5};

/** Headers of a back end's answer that apply only to its connection to the target's process. */
constexpr std::array<std::string_view, 5> HopByHopHeaders{"Connection", "Keep-Alive", "Transfer-Encoding",
                                                          "Content-Length", "X-Request-Id"};

std::vector<HttpHeader> answerHeaders(const AnswerHead &head)
{
    std::vector<HttpHeader> headers{{.name = std::string(RequestIdHeader), .value = requestOfAttempt(head.id).text()}};
    for (const auto &header : head.headers) {
        if (!containsHeaderName(HopByHopHeaders, header.name)) {
            headers.push_back({.name = header.name, .value = header.value});
        }
    }
    return headers;
}

std::chrono::microseconds elapsedSince(SteadyTime begin)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - begin);
}

/** Returns the error of an attempt whose connection to the target was lost, so that it is unknown whether the request
 * ran. */
Error connectionLostError(const EntryCall &call)
{
    return Error{.kind = call.answerStarted ? ErrorKind::StreamBroken : ErrorKind::OutcomeUnknown,
                 .detail = "the connection to target " + call.target.text() + " was lost",
                 .ran = call.answerStarted ? ExecutionStatus::Yes : ExecutionStatus::Unknown};
}

} // namespace

EntryTraffic::EntryTraffic(Options options, Metrics &metrics, RequestJournal &journal)
    : m_options(std::move(options))
    , m_metrics(metrics)
    , m_journal(journal)
    , m_view(std::make_shared<const ConfigView>())
    , m_encoder(m_options.process, m_options.incarnation, [this] { return m_view; })
    , m_random(toNumber(m_options.incarnation))
    , m_placement(std::make_unique<Placement>(m_view->rules->placement()))
    , m_requests(metrics.counter("heatherridge_requests_total"))
    , m_answers(metrics.counter("heatherridge_answers_total"))
    , m_strayFrames(metrics.counter("heatherridge_stray_frames_total"))
    , m_timeToFirstByte(metrics.histogram("heatherridge_first_byte_seconds"))
    , m_answerDuration(metrics.histogram("heatherridge_answer_seconds"))
{
    m_links = std::make_unique<TargetLinks>(
        m_loop, m_encoder, metrics,
        TargetLinkEvents{.received = [this](const TargetName &target,
                                            const TrafficMessage &message) { handleMessage(target, message); },
                         .control = [](const TargetName &, const Envelope &) {},
                         .up = [](const TargetName &) {},
                         .down = [this](const TargetName &target) { handleLinkDown(target); },
                         .isBusy = [this](const TargetName &target) { return isBusy(target); }});
}

EntryTraffic::~EntryTraffic()
{
    stop();
}

void EntryTraffic::start()
{
    m_loop.every(LinkTickInterval, [this] { m_links->tick(std::chrono::steady_clock::now()); });
    m_loop.start();
}

void EntryTraffic::stop()
{
    m_loop.stop();
    m_calls.clear();
}

void EntryTraffic::setView(std::shared_ptr<const ConfigView> view)
{
    m_loop.post([this, view = std::move(view)] {
        if (view->rules != m_view->rules) {
            m_placement = std::make_unique<Placement>(view->rules->placement());
        }
        m_view = view;
        m_links->setTargets(LinkPlan::choose(*view->inventory, m_options.links));
        m_tracker.updateInventory(*view->inventory);
    });
}

void EntryTraffic::submit(CallerRequest request, std::shared_ptr<HttpExchange> exchange)
{
    m_requests.add();
    m_openCalls.fetch_add(1);
    auto call = std::make_shared<EntryCall>();
    call->arrived = std::chrono::steady_clock::now();
    call->deadline = call->arrived + request.timeout;
    call->id = request.submit.id;
    call->request = std::move(request);
    call->exchange = std::move(exchange);
    m_loop.post([this, call] { startCall(call); });
}

std::size_t EntryTraffic::openCalls() const
{
    return m_openCalls.load();
}

std::vector<EntryTraffic::TargetStatus> EntryTraffic::targets()
{
    std::vector<TargetStatus> statuses;
    m_loop.runAndWait([this, &statuses] {
        for (const auto &[name, target] : m_view->inventory->targets()) {
            statuses.push_back({.target = name,
                                .isLinked = m_links->isWanted(name),
                                .isUp = m_links->isUp(name),
                                .report = m_tracker.lastReport(name)});
        }
    });
    return statuses;
}

void EntryTraffic::startCall(const Call &call)
{
    m_calls.emplace(call->id, call);
    m_journal.record(call->id, "arrived", {}, call->request.submit.service.text());
    call->exchange->onClosed([this, id = call->id] { m_loop.post([this, id] { handleCallerDisconnect(id); }); });
    if (!parseKey(*call)) {
        fail(call, Error{.kind = ErrorKind::BadIdempotencyKey, .detail = "the key must be a UUID of version 7"});
        return;
    }
    startAttempt(call);
}

void EntryTraffic::startAttempt(const Call &call)
{
    const auto now = std::chrono::steady_clock::now();
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call->deadline - now);
    if (remaining < MinAttemptTime) {
        fail(call, Error{.kind = ErrorKind::DeadlineExceeded, .ran = ExecutionStatus::No});
        return;
    }
    const auto targets = candidates(*call);
    if (const auto *holder = findKeyHolder(*call, targets)) {
        dispatchAttempt(call, holder->name, remaining);
        return;
    }
    const auto views = makeViews(targets, *call, now);
    const auto &submit = call->request.submit;
    const auto choice = m_placement->choose(views,
                                            {.cost = static_cast<double>(submit.cost),
                                             .promptTokens = call->request.promptTokens,
                                             .affinityKey = call->request.affinityKey,
                                             .mayProbe = submit.mayRepeat},
                                            m_random);
    if (const auto *error = errorIn(choice)) {
        fail(call, *error);
        return;
    }
    const double uncachedTokens = call->request.promptTokens - views[std::get<std::size_t>(choice)].prefixTokens;
    call->request.submit.uncachedPromptTokens = static_cast<std::uint64_t>(std::max(0.0, uncachedTokens));
    dispatchAttempt(call, targets[std::get<std::size_t>(choice)]->name, remaining);
}

/** Parses the idempotency key of @p call if the call must not be repeated. @returns false if it has a key that is not a
 * UUID of version 7, whose time the key gates need */
bool EntryTraffic::parseKey(EntryCall &call) const
{
    const auto &submit = call.request.submit;
    const auto targets = candidates(call);
    const bool isPlain = !targets.empty() && targets.front()->kind == TargetKind::Plain;
    if (!isPlain || submit.mayRepeat || submit.key.isEmpty()) {
        return true;
    }
    call.key = Uuid7::parse(submit.key.text());
    return call.key.has_value();
}

/** Returns the target for a call with a key: the one to which a key gate redirected it, else the likely holder of its
 * shard. */
const Target *EntryTraffic::findKeyHolder(const EntryCall &call, const std::vector<const Target *> &targets) const
{
    if (!call.key) {
        return nullptr;
    }
    const auto *redirectTarget = m_view->inventory->find(call.askAt);
    if (redirectTarget != nullptr && m_links->acceptsNewRequests(redirectTarget->name)) {
        return redirectTarget; // even if withdrawn: it knows the key's history, and refuses new calls itself
    }
    const auto ranked = holdersOf(*m_view->inventory, call.request.submit.service, shardOf(*call.key));
    const auto usable = std::find_if(ranked.begin(), ranked.end(), [&](const Target *target) {
        return isUsable(*target, call) && std::find(targets.begin(), targets.end(), target) != targets.end();
    });
    return usable == ranked.end() ? nullptr : *usable;
}

/** Starts an attempt at the target to which a key gate redirected the call. @returns false if the redirect cannot be
 * followed */
bool EntryTraffic::followRedirect(const Call &call, const TargetName &askAt)
{
    if (!call->key || askAt.isEmpty() || !m_links->acceptsNewRequests(askAt) || call->redirects >= MaxRedirects) {
        return false;
    }
    ++call->redirects;
    m_journal.record(call->id, "redirected", askAt);
    endAttempt(*call, AttemptOutcome::Succeeded);
    call->askAt = askAt;
    startAttempt(call);
    return true;
}

void EntryTraffic::dispatchAttempt(const Call &call, const TargetName &target, std::chrono::milliseconds remaining)
{
    const auto &submit = call->request.submit;
    call->target = target;
    call->attemptStarted = std::chrono::steady_clock::now();
    ++call->attempts;
    m_tracker.recordSent(target, submit, call->request.prefixChain, call->attemptStarted);
    call->request.submit.timeLeft = remaining;
    call->request.submit.attempt = call->attempts;
    call->request.submit.id = attemptId(call->id, call->attempts);
    call->timer = std::make_unique<asio::steady_timer>(m_loop.context(), call->deadline);
    // Captures the id, not the pointer: a wait that never completes would keep the call, and with it the server's
    // connection, alive longer than the server itself.
    call->timer->async_wait([this, id = call->id](const asio::error_code &error) {
        if (!error) {
            handleDeadline(id);
        }
    });
    m_journal.record(call->id, "placed", target);
    m_links->send(target, call->request.submit);
}

void EntryTraffic::handleDeadline(const RequestId &id)
{
    const auto entry = m_calls.find(id);
    if (entry == m_calls.end()) {
        return;
    }
    const auto call = entry->second;
    cancelAtTarget(call);
    fail(call,
         Error{.kind = call->answerStarted ? ErrorKind::StreamBroken : ErrorKind::DeadlineExceeded,
               .detail = "the deadline passed"});
}

std::vector<const Target *> EntryTraffic::candidates(const EntryCall &call) const
{
    auto targets = m_view->inventory->targetsOf(call.request.submit.service);
    // To callers a lock-step group is one replica; its rank 0 receives the requests.
    std::erase_if(targets, [&call](const Target *target) {
        const auto &model = call.request.model;
        const bool servesModel =
            model.isEmpty() || std::find(target->models.begin(), target->models.end(), model) != target->models.end();
        return !servesModel || (!target->group.isEmpty() && target->rank != 0);
    });
    return targets;
}

bool EntryTraffic::isUsable(const Target &target, const EntryCall &call) const
{
    return m_view->acceptsNewWork(target) && m_links->acceptsNewRequests(target.name)
        && !call.triedTargets.contains(target.name);
}

std::vector<TargetView> EntryTraffic::makeViews(const std::vector<const Target *> &targets, const EntryCall &call,
                                                SteadyTime now) const
{
    auto views = m_tracker.makeViews(targets, call.request.prefixChain, now);
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const bool reachable = isUsable(*targets[index], call);
        views[index].zoneDelay = m_view->inventory->delayBetween(m_options.zone, targets[index]->zone);
        views[index].usable = views[index].usable && reachable;
        views[index].awaitsProbe = views[index].awaitsProbe && reachable;
    }
    return views;
}

void EntryTraffic::handleMessage(const TargetName &target, const TrafficMessage &message)
{
    if (const auto *report = std::get_if<LoadReport>(&message)) {
        m_tracker.recordReport(*report, std::chrono::steady_clock::now());
        return;
    }
    const auto id = std::visit(
        Visitor{[](const LoadReport &) { return RequestId(); }, [](const auto &other) { return other.id; }}, message);
    const auto entry = m_calls.find(requestOfAttempt(id));
    // Frames of an abandoned attempt, or from a target that does not have the request, must not reach the caller: they
    // would appear as a gap, a repetition, or bytes of another attempt.
    if (entry == m_calls.end() || entry->second->target != target || entry->second->request.submit.id != id) {
        m_strayFrames.add();
        return;
    }
    const auto call = entry->second;
    std::visit(Visitor{[&](const AnswerHead &head) { handleHead(call, head); },
                       [&](const AnswerChunk &chunk) { handleChunk(call, chunk); },
                       [&](const AnswerEnd &end) { handleEnd(call, end); },
                       [&](const AnswerError &error) {
                           if (followRedirect(call, error.redirectTarget)) {
                               return;
                           }
                           handleAttemptFailure(call,
                                                Error{.kind = error.kind,
                                                      .detail = error.detail,
                                                      .ran = error.ran,
                                                      .retryAfter = error.retryAfter});
                       },
                       [&](const auto &) { m_strayFrames.add(); }},
               message);
}

bool EntryTraffic::isBusy(const TargetName &target) const
{
    return std::any_of(m_calls.begin(), m_calls.end(),
                       [&target](const auto &entry) { return entry.second->target == target; });
}

void EntryTraffic::handleLinkDown(const TargetName &target)
{
    m_tracker.recordDisconnect(target);
    std::vector<Call> affected;
    for (const auto &[id, call] : m_calls) {
        if (call->target == target) {
            affected.push_back(call);
        }
    }
    for (const auto &call : affected) {
        handleAttemptFailure(call, connectionLostError(*call));
    }
}

void EntryTraffic::handleHead(const Call &call, const AnswerHead &head)
{
    call->hasHead = true;
    if (call->answerStarted) {
        if (call->resume && !isEventStream(head)) {
            cancelAtTarget(call);
            handleAttemptFailure(call, Error{.kind = ErrorKind::StreamBroken, .detail = "the stream was not resumed"});
        }
        return;
    }
    call->answerStarted = true;
    if (call->request.wantsStream && call->request.submit.mayRepeat && isEventStream(head)) {
        call->resume.emplace();
    }
    m_timeToFirstByte.record(elapsedSince(call->arrived));
    call->exchange->beginStream(head.status, answerHeaders(head));
    beginBody(call);
}

void EntryTraffic::handleChunk(const Call &call, const AnswerChunk &chunk)
{
    auto ready = call->hasHead
        ? call->assembler.addFrame(chunk.sequence, chunk.bytes)
        : Result<Bytes>(Error{.kind = ErrorKind::StreamBroken, .detail = "answer chunk received before the head"});
    if (const auto *error = errorIn(ready)) {
        cancelAtTarget(call);
        fail(call, *error);
        return;
    }
    if (call->resume) {
        auto events = call->resume->append(std::get<Bytes>(ready));
        if (const auto *error = errorIn(events)) {
            cancelAtTarget(call);
            fail(call, *error);
            return;
        }
        const auto &accepted = std::get<ResumedBytes>(events);
        if (accepted.duplicateBytes > 0) {
            m_links->send(call->target, GrantCredit{.id = call->request.submit.id, .bytes = accepted.duplicateBytes});
        }
        forwardBytes(call, accepted.newEvents);
    } else {
        forwardBytes(call, std::get<Bytes>(ready));
    }
    if (call->assembler.isComplete()) {
        completeAnswer(call);
    }
}

void EntryTraffic::handleEnd(const Call &call, const AnswerEnd &end)
{
    auto outcome = call->hasHead
        ? call->assembler.setFrameCount(end.chunks)
        : Outcome(Error{.kind = ErrorKind::StreamBroken, .detail = "end of the answer received before the head"});
    if (const auto *error = errorIn(outcome)) {
        cancelAtTarget(call);
        fail(call, *error);
        return;
    }
    if (call->assembler.isComplete()) {
        completeAnswer(call);
    }
}

void EntryTraffic::beginBody(const Call &call)
{
    // The target is granted credit only once the bytes have been written: a slow caller throttles its own engine stream
    // instead of filling this process's memory.
    const auto written = [this, id = call->id](std::size_t bytes) {
        const auto entry = m_calls.find(id);
        if (entry != m_calls.end() && !entry->second->target.isEmpty()) {
            m_links->send(entry->second->target, GrantCredit{.id = entry->second->request.submit.id, .bytes = bytes});
        }
    };
    call->stream = std::make_shared<CallerStream>(
        call->exchange, m_loop, CallerStream::Events{.written = written, .disconnected = [this, id = call->id] {
                                                         handleCallerDisconnect(id);
                                                     }});
}

void EntryTraffic::forwardBytes(const Call &call, const Bytes &bytes)
{
    call->stream->write({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

void EntryTraffic::endAttempt(EntryCall &call, AttemptOutcome attempt)
{
    if (call.target.isEmpty()) {
        return;
    }
    m_tracker.recordAttemptEnd(call.target, static_cast<double>(call.request.submit.cost), attempt,
                               std::chrono::steady_clock::now());
    call.target = TargetName();
    if (call.timer) {
        call.timer->cancel();
    }
}

void EntryTraffic::handleAttemptFailure(const Call &call, const Error &error)
{
    call->mayHaveRun = call->mayHaveRun || error.ranOrDefault() != ExecutionStatus::No;
    m_journal.record(call->id, "attempt-failed", call->target, std::string(errorDescriptorFor(error.kind).name));
    call->triedTargets.insert(call->target);
    const bool isTargetLost = !m_links->isUp(call->target);
    call->askAt = TargetName();
    const bool refused = error.ranOrDefault() == ExecutionStatus::No;
    const auto now = std::chrono::steady_clock::now();
    const bool unreachable = error.kind == ErrorKind::TargetUnreachable;
    endAttempt(*call, refused && !unreachable ? AttemptOutcome::Succeeded : AttemptOutcome::Failed);
    const auto others = candidates(*call);
    const FailedAttempt failed{
        .error = error,
        .idempotent = call->request.submit.mayRepeat || call->key.has_value(),
        .answerStarted = call->answerStarted,
        .targetLost = isTargetLost,
        .canResume = call->resume.has_value(),
        .hasOtherTargets =
            std::any_of(others.begin(), others.end(), [&](const Target *target) { return isUsable(*target, *call); }),
        .previousAttempts = call->attempts - 1,
        .deadline = call->deadline,
        .expectedDuration = MinAttemptTime};
    const auto decision = m_retries.decide(failed, now, m_random);
    const std::string verdict(textFor(decision.verdict).name);
    m_metrics.counter("heatherridge_retry_verdicts_total", "verdict=\"" + verdict + "\"").add();
    if (decision.verdict != RetryVerdict::Retry) {
        fail(call, error);
        return;
    }
    m_journal.record(call->id, "retry", {}, call->resume ? "resumed" : verdict);
    if (call->resume) {
        m_metrics.counter("heatherridge_streams_resumed_total").add();
        call->beginResume();
    }
    if (!failed.hasOtherTargets) {
        call->triedTargets.clear();
    }
    call->timer = std::make_unique<asio::steady_timer>(m_loop.context(), decision.delay);
    call->timer->async_wait([this, id = call->id](const asio::error_code &cancelled) {
        const auto entry = m_calls.find(id);
        if (!cancelled && entry != m_calls.end()) {
            startAttempt(entry->second);
        }
    });
}

void EntryTraffic::completeAnswer(const Call &call)
{
    const auto reason = call->resume ? call->resume->brokenOffReason() : std::nullopt;
    if (reason) {
        handleAttemptFailure(call, Error{.kind = ErrorKind::StreamBroken, .detail = std::string(*reason)});
        return;
    }
    finish(call, "answered");
}

void EntryTraffic::finish(const Call &call, const std::string &outcome)
{
    endAttempt(*call, AttemptOutcome::Succeeded);
    m_retries.recordSuccess();
    call->stream->end();
    m_answers.add();
    m_answerDuration.record(elapsedSince(call->arrived));
    m_journal.finish(call->id, outcome);
    m_calls.erase(call->id);
    m_openCalls.fetch_sub(1);
}

void EntryTraffic::fail(const Call &call, Error error)
{
    // A refusal of this attempt does not prove that an earlier one, whose answer was lost, did not run.
    if (call->mayHaveRun && error.ranOrDefault() == ExecutionStatus::No) {
        error.ran = ExecutionStatus::Unknown;
    }
    endAttempt(*call, AttemptOutcome::TimedOut);
    m_metrics.errors(error.kind).add();
    const std::string kind(errorDescriptorFor(error.kind).name);
    logEvent(Severity::Info, "request-failed",
             {{"request", call->id.text()},
              {"kind", kind},
              {"ran", std::string(toString(error.ranOrDefault()))},
              {"detail", error.detail}});
    if (!call->answerStarted) {
        call->exchange->respond(problemResponse(error, call->id));
    } else {
        if (call->request.wantsStream) {
            call->stream->write(problemEvent(error, call->id));
        }
        call->stream->abort();
    }
    m_journal.finish(call->id, kind);
    m_calls.erase(call->id);
    m_openCalls.fetch_sub(1);
}

void EntryTraffic::cancelAtTarget(const Call &call)
{
    if (!call->target.isEmpty()) {
        m_links->send(call->target, CancelRequest{.id = call->request.submit.id});
    }
}

void EntryTraffic::handleCallerDisconnect(const RequestId &id)
{
    const auto entry = m_calls.find(id);
    if (entry == m_calls.end()) {
        return;
    }
    const auto call = entry->second;
    cancelAtTarget(call);
    endAttempt(*call, AttemptOutcome::Succeeded);
    m_metrics.errors(ErrorKind::CallerGone).add();
    m_journal.finish(id, std::string(errorDescriptorFor(ErrorKind::CallerGone).name));
    m_calls.erase(id);
    m_openCalls.fetch_sub(1);
}

} // namespace Heatherridge
