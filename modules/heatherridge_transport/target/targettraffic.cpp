#include "heatherridge_transport/target/targettraffic.h"

#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/target/backendrequest.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds TickInterval{10};
/** Entries with open requests here get a load report twenty times a second, the others four times a second; see
 * docs/MEASUREMENTS-policies.md. */
constexpr int TicksPerReport = 5;
constexpr int TicksPerKeepAlive = 25;
/** Time beyond its deadline that a call with a key may run: its outcome must be recorded even if its caller has
 * disconnected. */
constexpr std::chrono::seconds KeyedCallGrace{30};
constexpr std::chrono::seconds NoGrace{0};
/** Maximum size of the answer to a call with an idempotency key, which is sent in a single chunk. */
constexpr std::size_t MaxKeyedAnswerBytes = 4UL << 20U;

/** Returns whether the request may be aborted at the back end when nobody waits for it, because it has no side effects.
 */
bool canAbort(const BackendWork &work)
{
    return work.request.mayRepeat;
}

std::chrono::microseconds elapsed(SteadyTime begin, SteadyTime end)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(end - begin);
}

} // namespace

TargetTraffic::TargetTraffic(Options options, Metrics &metrics)
    : m_options(std::move(options))
    , m_metrics(metrics)
    , m_view(std::make_shared<const ConfigView>())
    , m_encoder(ProcessName(m_options.target.text()), m_options.incarnation, [this] { return m_view; })
    , m_limit(std::make_unique<ConcurrencyLimit>())
    , m_startedCount(metrics.counter("heatherridge_started_total"))
    , m_finishedCount(metrics.counter("heatherridge_finished_total"))
    , m_strayFrames(metrics.counter("heatherridge_stray_frames_total"))
    , m_waitingTime(metrics.histogram("heatherridge_waiting_seconds"))
{
    m_queue.setLimit(m_limit->limit());
}

TargetTraffic::~TargetTraffic()
{
    stop();
}

Result<Endpoint> TargetTraffic::start()
{
    m_client = std::make_unique<HttpClient>(m_loop.context(), HttpClient::Options{});
    m_keys = std::make_unique<KeyedCalls>(
        m_loop,
        KeyedCalls::Options{
            .target = m_options.target, .incarnation = m_options.incarnation, .logService = m_options.logService},
        m_encoder, m_metrics,
        KeyedCalls::Events{
            .run = [this](const Uuid7 &key, const SubmitRequest &request,
                          SteadyTime deadline) { runKeyed(key, request, deadline); },
            .answer = [this](const Socket &entry, const TrafficMessage &message) { send(entry, message); }});
    m_keys->start();
    m_listener = std::make_unique<PeerListener>(
        m_loop.context(),
        PeerSocketEvents{[this](const Socket &entry) {
                             m_entries.insert(entry);
                             reportLoad(true);
                         },
                         [this](const Socket &entry, const Bytes &frame) { receive(entry, frame); },
                         [this](const Socket &entry) { handleEntryDisconnect(entry); }},
        MaxFrameBytes);
    int port = m_options.listen.port;
    const auto startError = m_listener->start(m_options.listen.address, port);
    if (!startError.empty()) {
        return Error{.kind = ErrorKind::Internal, .detail = startError};
    }
    m_loop.every(TickInterval, [this] { tick(); });
    m_loop.start();
    return Endpoint{.address = m_options.listen.address, .port = port};
}

void TargetTraffic::stop()
{
    m_loop.stop();
    m_work.clear();
    m_keys.reset();
    m_client.reset();
}

void TargetTraffic::setGroupReceiver(std::function<void(const Envelope &)> receiver)
{
    m_groupReceiver = std::move(receiver);
}

void TargetTraffic::setView(std::shared_ptr<const ConfigView> view)
{
    m_loop.post([this, view = std::move(view)] {
        const auto *previousTarget = ownTarget();
        const int previousConcurrency = previousTarget == nullptr ? 0 : previousTarget->concurrency;
        m_view = view;
        updateDrainCauses(m_drain, *view, m_options.target, std::chrono::steady_clock::now());
        const auto *target = ownTarget();
        if (target != nullptr && target->concurrency != previousConcurrency && target->concurrency > 0) {
            m_limit = std::make_unique<ConcurrencyLimit>(
                ConcurrencyOptions{.maxLimit = static_cast<std::size_t>(target->concurrency),
                                   .initialLimit = std::min(ConcurrencyOptions{}.initialLimit,
                                                            static_cast<std::size_t>(target->concurrency))});
            m_queue.setLimit(m_limit->limit());
        }
        if (target == nullptr || !m_view->takesWork(*target)) {
            rejectWaiting(ErrorKind::TargetWithdrawn);
        }
        m_keys->setView(m_view);
        releaseHeld();
        reportLoad(false);
    });
}

void TargetTraffic::drain()
{
    m_loop.post([this] {
        m_draining = true;
        m_drain.setCause(DrainCause::Signal, true, std::chrono::steady_clock::now());
        m_keys->drain();
        rejectWaiting(ErrorKind::Draining);
        releaseHeld();
        reportLoad(true);
    });
}

TargetTraffic::Status TargetTraffic::status()
{
    Status status;
    m_loop.run([this, &status] {
        const auto now = std::chrono::steady_clock::now();
        status = {.load = m_queue.load(),
                  .draining = m_draining,
                  .drain = makeDrainReport(m_drain, now),
                  .keysIdle = m_keys->isIdle()};
    });
    return status;
}

const Target *TargetTraffic::ownTarget() const
{
    return m_view->inventory->find(m_options.target);
}

void TargetTraffic::receive(const Socket &entry, const Bytes &frame)
{
    const auto envelope = decodeEnvelope(frame);
    if (errorIn(envelope) != nullptr) {
        m_metrics.errors(ErrorKind::MalformedFrame).add();
        return;
    }
    const auto &outer = std::get<Envelope>(envelope);
    if (outer.channel == Channel::Traffic) {
        receiveTraffic(entry, outer);
    } else if (outer.channel == Channel::Group && m_groupReceiver) {
        m_entries.erase(entry); // another rank's process, which needs no load reports
        m_groupReceiver(outer);
    } else if (outer.channel == Channel::Keys) {
        m_entries.erase(entry); // a process of the same service, which needs no load reports
        m_keys->receive(outer);
    } else if (outer.channel == Channel::Control && m_controlSink.frame) {
        m_entries.erase(entry); // a peer that relays configuration, which needs no load reports
        m_controlSink.frame(entry, outer);
    }
}

void TargetTraffic::setControlSink(ControlSink sink)
{
    m_controlSink = std::move(sink);
}

void TargetTraffic::sendFrame(const std::shared_ptr<PeerSocket> &peer, Bytes frame)
{
    m_loop.post([peer, frame = std::move(frame)] { peer->send(frame); });
}

void TargetTraffic::receiveTraffic(const Socket &entry, const Envelope &envelope)
{
    const auto message = decodeTrafficMessage(envelope.payload);
    if (errorIn(message) != nullptr) {
        m_metrics.errors(ErrorKind::MalformedFrame).add();
        return;
    }
    std::visit(Visitor{[&](const SubmitRequest &request) { submit(entry, request, envelope.offset); },
                       [&](const CancelRequest &request) { cancel(request.id); },
                       [&](const GrantCredit &grant) { handleCredit(grant); },
                       [&](const auto &) { m_strayFrames.add(); }},
               std::get<TrafficMessage>(message));
}

void TargetTraffic::submit(const Socket &entry, const SubmitRequest &request, LogOffset requiredOffset)
{
    const auto now = std::chrono::steady_clock::now();
    if (requiredOffset <= m_view->offset) {
        admit(entry, request, now);
        return;
    }
    if (!m_held.add({.request = request, .entry = entry, .requiredOffset = requiredOffset, .arrived = now})) {
        refuse(entry, request.id, Error{.kind = ErrorKind::StaleOffset, .ran = ExecutionStatus::No});
    }
}

void TargetTraffic::releaseHeld()
{
    const auto maxWait = m_draining ? std::chrono::milliseconds(0) : m_options.maxConfigWait;
    auto released = m_held.release(m_view->offset, std::chrono::steady_clock::now() - maxWait);
    for (const auto &heldRequest : released.ready) {
        admit(heldRequest.entry, heldRequest.request, heldRequest.arrived);
    }
    for (const auto &heldRequest : released.expired) {
        refuse(heldRequest.entry, heldRequest.request.id,
               Error{.kind = ErrorKind::StaleOffset, .ran = ExecutionStatus::No});
    }
}

std::optional<ErrorKind> TargetTraffic::refusalFor(const SubmitRequest &request) const
{
    if (m_draining) {
        return ErrorKind::Draining;
    }
    const auto *target = ownTarget();
    if (target == nullptr || !m_view->takesWork(*target)) {
        return ErrorKind::TargetWithdrawn;
    }
    return target->service == request.service ? std::nullopt : std::optional(ErrorKind::UnknownService);
}

void TargetTraffic::admit(const Socket &entry, const SubmitRequest &request, SteadyTime arrived)
{
    if (m_work.contains(request.id)) {
        m_strayFrames.add(); // a duplicate; the first one is kept
        return;
    }
    if (m_keys->accepts(request)) {
        m_keys->submit(entry, request, arrived + request.timeLeft);
        return;
    }
    if (const auto kind = refusalFor(request)) {
        refuse(entry, request.id, Error{.kind = *kind, .ran = ExecutionStatus::No});
        return;
    }
    enqueue(std::make_shared<BackendWork>(
        BackendWork{.request = request, .entry = entry, .arrived = arrived, .deadline = arrived + request.timeLeft}));
}

/** Runs a call that its key gate has released. Any refusal from here on happens before any part of the call is sent to
 * the back end. */
void TargetTraffic::runKeyed(const Uuid7 &key, const SubmitRequest &request, SteadyTime deadline)
{
    BackendWork work{.request = request, .arrived = std::chrono::steady_clock::now(), .deadline = deadline};
    work.key = key;
    enqueue(std::make_shared<BackendWork>(std::move(work)));
}

void TargetTraffic::enqueue(const Work &work)
{
    const auto &request = work->request;
    // A call with a key is released some time after its arrival; the target may have been removed from the inventory in
    // between.
    if (ownTarget() == nullptr) {
        refuseWork(work, Error{.kind = ErrorKind::TargetWithdrawn, .ran = ExecutionStatus::No});
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto *workspace = m_view->rules->find(request.workspace);
    const auto offer = m_queue.offer({.id = request.id,
                                      .workspace = request.workspace,
                                      .weight = workspace == nullptr ? 1 : workspace->weight,
                                      .priority = request.priority,
                                      .cost = static_cast<double>(request.cost),
                                      .deadline = work->deadline},
                                     now);
    if (const auto *error = std::get_if<Error>(&offer)) {
        refuseWork(work, *error);
    } else {
        m_work.emplace(request.id, work);
        if (std::holds_alternative<Started>(offer)) {
            start(work);
        }
    }
    processQueue();
}

void TargetTraffic::start(const Work &work)
{
    const auto now = std::chrono::steady_clock::now();
    work->startedAt = now;
    m_drain.recordStart(work->request.id, now);
    m_startedCount.add();
    m_waitingTime.record(elapsed(work->arrived, now));
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(work->deadline - now);
    work->call = m_client->stream(
        {.endpoint = ownTarget()->backend,
         .request = backendRequest(work->request),
         .timeout = std::max(timeout, std::chrono::milliseconds(1)) + (work->key ? KeyedCallGrace : NoGrace),
         .reuseConnection = work->request.mayRepeat},
        {.head = [this, work](int status,
                              const std::vector<HttpHeader> &headers) { handleHead(work, status, headers); },
         .data = [this, work](std::string_view bytes) { return handleData(work, bytes); },
         .finished = [this, work] { handleFinished(work); },
         .failed = [this, work](const HttpClient::Failure &failure) { handleFailed(work, failure); }});
}

void TargetTraffic::handleHead(const Work &work, int status, const std::vector<HttpHeader> &headers)
{
    work->firstByteAt = std::chrono::steady_clock::now();
    work->headSent = true;
    m_limit->recordFirstToken(*work->startedAt, m_queue.running(), *work->firstByteAt);
    updateQueueLimit();
    if (ownTarget() != nullptr && ownTarget()->kind == TargetKind::Plain) {
        recordPace(elapsed(*work->startedAt, *work->firstByteAt));
    }
    if (work->key) {
        work->answer.status = status;
        for (const auto &header : headers) {
            if (sameHeaderName(header.name, "Content-Type")) {
                work->answer.contentType = header.value;
            }
        }
        return;
    }
    send(work->entry, answerHead(work->request.id, status, headers));
}

bool TargetTraffic::handleData(const Work &work, std::string_view bytes)
{
    if (work->key) {
        work->answer.body.append(bytes);
        if (work->answer.body.size() > MaxKeyedAnswerBytes) {
            m_client->cancel(work->call);
            handleFailed(work, {.reason = "the answer to a call with a key is too long"});
        }
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    // While the answer is paused for a slow caller, its gaps do not reflect the engine's speed.
    if (work->lastChunkAt && !work->resumedAfterPause) {
        m_limit->recordTokenGap(elapsed(*work->lastChunkAt, now), m_queue.running(), now);
        updateQueueLimit();
        recordPace(elapsed(*work->lastChunkAt, now));
    }
    work->lastChunkAt = now;
    work->resumedAfterPause = false;
    send(work->entry,
         AnswerChunk{
             .id = work->request.id, .sequence = work->sentChunks++, .bytes = Bytes(bytes.begin(), bytes.end())});
    work->sentBytes += bytes.size();
    // Without this limit a slow caller's answer would accumulate in the entry or here.
    work->paused = work->entry != nullptr && work->sentBytes - work->creditedBytes >= m_options.windowBytes;
    return !work->paused;
}

void TargetTraffic::handleCredit(const GrantCredit &grant)
{
    const auto entry = m_work.find(grant.id);
    if (entry == m_work.end()) {
        return;
    }
    auto &work = *entry->second;
    work.creditedBytes = std::min(work.sentBytes, work.creditedBytes + grant.bytes);
    if (work.paused && work.sentBytes - work.creditedBytes < m_options.windowBytes / 2) {
        work.paused = false;
        work.resumedAfterPause = true;
        m_client->resume(work.call);
    }
}

void TargetTraffic::handleFinished(const Work &work)
{
    finish(work);
    if (work->key) {
        m_keys->completeCall(*work->key, work->answer);
        return;
    }
    send(work->entry, AnswerEnd{.id = work->request.id, .chunks = work->sentChunks});
}

void TargetTraffic::handleFailed(const Work &work, const HttpClient::Failure &failure)
{
    AnswerError error{.id = work->request.id, .detail = failure.reason};
    if (!failure.mayHaveArrived) {
        error.kind = ErrorKind::TargetUnreachable;
        error.ran = ExecutionStatus::No;
    } else {
        error.kind = work->headSent ? ErrorKind::StreamBroken : ErrorKind::BackendFailed;
        error.ran = work->headSent ? ExecutionStatus::Yes : ExecutionStatus::Unknown;
    }
    m_metrics.errors(error.kind).add();
    logEvent(Severity::Warning, "backend-failed", {{"request", work->request.id.text()}, {"reason", failure.reason}});
    finish(work);
    if (work->key) {
        m_keys->completeCall(*work->key, Error{.kind = error.kind, .detail = error.detail, .ran = error.ran});
        return;
    }
    send(work->entry, error);
}

void TargetTraffic::finish(const Work &work)
{
    const auto now = std::chrono::steady_clock::now();
    m_finishedCount.add();
    m_drain.recordEnd(work->request.id);
    m_queue.finish(work->request.id, static_cast<double>(work->request.cost), now);
    m_work.erase(work->request.id);
    processQueue();
}

void TargetTraffic::cancel(const RequestId &id)
{
    m_keys->cancel(id);
    m_held.remove(id);
    const auto entry = m_work.find(id);
    if (entry == m_work.end()) {
        return;
    }
    const auto work = entry->second;
    if (work->key) {
        return; // other attempts may wait for it, and its outcome must be recorded
    }
    if (!work->startedAt) {
        m_queue.cancel(id);
        m_work.erase(id);
        return;
    }
    work->entry.reset();
    if (canAbort(*work)) {
        m_client->cancel(work->call);
        finish(work);
        return;
    }
    // A call that must not be repeated is not aborted while it runs: the service could be left with a partial result.
    // Its answer is read to the end and discarded.
    if (work->paused) {
        work->paused = false;
        m_client->resume(work->call);
    }
}

void TargetTraffic::handleEntryDisconnect(const Socket &entry)
{
    m_entries.erase(entry);
    m_keys->handleEntryDisconnect(entry);
    if (m_controlSink.disconnected) {
        m_controlSink.disconnected(entry);
    }
    m_held.remove(entry);
    std::vector<RequestId> orphans;
    for (const auto &[id, work] : m_work) {
        if (work->entry == entry) {
            orphans.push_back(id);
        }
    }
    for (const auto &id : orphans) {
        cancel(id);
    }
}

void TargetTraffic::processQueue()
{
    const auto now = std::chrono::steady_clock::now();
    while (const auto id = m_queue.startNext(now)) {
        const auto entry = m_work.find(*id);
        if (entry != m_work.end()) {
            start(entry->second);
        }
    }
    for (const auto &abandoned : m_queue.collectAbandoned()) {
        const auto entry = m_work.find(abandoned.id);
        if (entry != m_work.end()) {
            const auto work = entry->second;
            m_work.erase(entry);
            refuseWork(work, abandoned.error);
        }
    }
}

void TargetTraffic::tick()
{
    // The limit may have increased, or waiting requests may have passed their deadline.
    if (m_queue.waiting() > 0) {
        processQueue();
    }
    if (!m_held.isEmpty()) {
        releaseHeld();
    }
    ++m_ticksSinceReport;
    if (m_ticksSinceReport % TicksPerReport == 0) {
        reportLoad(m_ticksSinceReport >= TicksPerKeepAlive);
    }
}

void TargetTraffic::rejectWaiting(ErrorKind kind)
{
    std::vector<Work> waiting;
    for (const auto &[id, work] : m_work) {
        if (!work->startedAt) {
            waiting.push_back(work);
        }
    }
    for (const auto &work : waiting) {
        m_queue.cancel(work->request.id);
        m_work.erase(work->request.id);
        refuseWork(work, Error{.kind = kind, .ran = ExecutionStatus::No});
    }
}

void TargetTraffic::reportLoad(bool always)
{
    const auto load = m_queue.load();
    const auto *target = ownTarget();
    LoadReport report{.target = m_options.target,
                      .running = load.running,
                      .queued = load.waiting,
                      .limit = load.limit,
                      .draining = m_draining || target == nullptr || !m_view->takesWork(*target),
                      .load = load.runningCost + load.waitingCost,
                      .capacity = load.capacity,
                      .pressure = load.pressure,
                      .pendingPrompt = pendingPromptTokens(),
                      .warmth = m_limit->warmth(),
                      .tokenInterval = std::chrono::microseconds(static_cast<long long>(m_pace))};
    for (const auto &entry : m_entries) {
        report.loadOfEntry = loadFromEntry(entry);
        // Entries with open requests here use the report soon; the others need it only as a keep-alive.
        if (always || report.loadOfEntry > 0) {
            send(entry, report);
        }
    }
    m_ticksSinceReport = always ? 0 : m_ticksSinceReport;
}

void TargetTraffic::updateQueueLimit()
{
    m_queue.setLimit(m_limit->limit());
}

void TargetTraffic::recordPace(std::chrono::microseconds time)
{
    constexpr double newestWeight = 0.05;
    const auto measured = static_cast<double>(time.count());
    m_pace = m_pace == 0 ? measured : m_pace * (1 - newestWeight) + measured * newestWeight;
}

double TargetTraffic::pendingPromptTokens() const
{
    double pending = 0;
    for (const auto &[id, work] : m_work) {
        pending += work->startedAt && !work->headSent ? static_cast<double>(work->request.uncachedPromptTokens) : 0;
    }
    return pending;
}

double TargetTraffic::loadFromEntry(const Socket &entry) const
{
    double load = 0;
    for (const auto &[id, work] : m_work) {
        load += work->entry == entry ? static_cast<double>(work->request.cost) : 0;
    }
    return load;
}

/** Refuses a request of which nothing was sent to the back end. */
void TargetTraffic::refuseWork(const Work &work, const Error &error)
{
    if (work->key) {
        auto notRunError = error;
        notRunError.ran = ExecutionStatus::No;
        m_keys->completeCall(*work->key, notRunError);
        return;
    }
    refuse(work->entry, work->request.id, error);
}

void TargetTraffic::refuse(const Socket &entry, const RequestId &id, const Error &error)
{
    m_metrics.errors(error.kind).add();
    send(entry,
         AnswerError{.id = id,
                     .kind = error.kind,
                     .ran = error.ranOrDefault(),
                     .retryAfter = error.retryAfter,
                     .detail = error.detail});
}

void TargetTraffic::send(const Socket &entry, const TrafficMessage &message)
{
    if (entry) {
        entry->send(m_encoder.frame(message));
    }
}

} // namespace Heatherridge
