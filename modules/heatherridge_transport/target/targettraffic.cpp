#include "heatherridge_transport/target/targettraffic.h"

#include "heatherridge_transport/app/logger.h"
#include "heatherridge_transport/target/backendrequest.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds Tick{10};
/** Entries with work here get a report twenty times a second, the others four times; measured in
 * docs/MEASUREMENTS-policies.md. */
constexpr int TicksPerReport = 5;
constexpr int TicksPerSignOfLife = 25;
/** A call with a key is waited for beyond its deadline: its outcome is worth knowing though its caller has left. */
constexpr std::chrono::seconds KeyedGrace{30};
constexpr std::chrono::seconds NoGrace{0};
/** Longest answer to a call with an idempotency key, which is passed on in one piece. */
constexpr std::size_t MostKeyedAnswer = 4UL << 20U;

/** Whether the back end's work may be cut when nobody waits for it: it has no effect beside its answer. */
bool mayCut(const BackendWork &work)
{
    return work.request.mayRepeat;
}

std::chrono::microseconds between(SteadyTime begin, SteadyTime end)
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
    , m_started(metrics.counter("heatherridge_started_total"))
    , m_finished(metrics.counter("heatherridge_finished_total"))
    , m_strayFrames(metrics.counter("heatherridge_stray_frames_total"))
    , m_waiting(metrics.histogram("heatherridge_waiting_seconds"))
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
                         [this](const Socket &entry) { entryGone(entry); }},
        MaxFrameBytes);
    int port = m_options.listen.port;
    const auto fault = m_listener->start(m_options.listen.address, port);
    if (!fault.empty()) {
        return Error{.kind = ErrorKind::Internal, .detail = fault};
    }
    m_loop.every(Tick, [this] { tick(); });
    m_loop.start();
    return Endpoint{.address = m_options.listen.address, .port = port};
}

void TargetTraffic::stop()
{
    m_loop.stop();
    m_works.clear();
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
        const auto *before = self();
        const int hadConcurrency = before == nullptr ? 0 : before->concurrency;
        m_view = view;
        followConfig(m_drain, *view, m_options.target, std::chrono::steady_clock::now());
        const auto *target = self();
        if (target != nullptr && target->concurrency != hadConcurrency && target->concurrency > 0) {
            m_limit = std::make_unique<ConcurrencyLimit>(
                ConcurrencyOptions{.maxLimit = static_cast<std::size_t>(target->concurrency),
                                   .initialLimit = std::min(ConcurrencyOptions{}.initialLimit,
                                                            static_cast<std::size_t>(target->concurrency))});
            m_queue.setLimit(m_limit->limit());
        }
        if (target == nullptr || !m_view->takesWork(*target)) {
            handBackWaiting(ErrorKind::TargetWithdrawn);
        }
        m_keys->follow(m_view);
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
        handBackWaiting(ErrorKind::Draining);
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
                  .drain = reportOn(m_drain, now),
                  .keysIdle = m_keys->isIdle()};
    });
    return status;
}

const Target *TargetTraffic::self() const
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
        m_entries.erase(entry); // another rank's process; it wants no load reports
        m_groupReceiver(outer);
    } else if (outer.channel == Channel::Keys) {
        m_entries.erase(entry); // a process of the same service; it wants no load reports
        m_keys->receive(outer);
    } else if (outer.channel == Channel::Control && m_controlSink.frame) {
        m_entries.erase(entry); // a peer that relays configuration; it wants no load reports
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
                       [&](const GrantCredit &grant) { credit(grant); }, [&](const auto &) { m_strayFrames.add(); }},
               std::get<TrafficMessage>(message));
}

void TargetTraffic::submit(const Socket &entry, const SubmitRequest &request, LogOffset needs)
{
    const auto now = std::chrono::steady_clock::now();
    if (needs <= m_view->offset) {
        admit(entry, request, now);
        return;
    }
    if (!m_held.hold({.request = request, .entry = entry, .needs = needs, .arrived = now})) {
        refuse(entry, request.id, Error{.kind = ErrorKind::StaleOffset, .ran = Ran::No});
    }
}

void TargetTraffic::releaseHeld()
{
    const auto latest = m_draining ? std::chrono::milliseconds(0) : m_options.catchUp;
    auto released = m_held.release(m_view->offset, std::chrono::steady_clock::now() - latest);
    for (const auto &held : released.ready) {
        admit(held.entry, held.request, held.arrived);
    }
    for (const auto &held : released.late) {
        refuse(held.entry, held.request.id, Error{.kind = ErrorKind::StaleOffset, .ran = Ran::No});
    }
}

std::optional<ErrorKind> TargetTraffic::refusalFor(const SubmitRequest &request) const
{
    if (m_draining) {
        return ErrorKind::Draining;
    }
    const auto *target = self();
    if (target == nullptr || !m_view->takesWork(*target)) {
        return ErrorKind::TargetWithdrawn;
    }
    return target->service == request.service ? std::nullopt : std::optional(ErrorKind::UnknownService);
}

void TargetTraffic::admit(const Socket &entry, const SubmitRequest &request, SteadyTime arrived)
{
    if (m_works.contains(request.id)) {
        m_strayFrames.add(); // doubled on the way; the first one stands
        return;
    }
    if (m_keys->takes(request)) {
        m_keys->submit(entry, request, arrived + request.timeLeft);
        return;
    }
    if (const auto kind = refusalFor(request)) {
        refuse(entry, request.id, Error{.kind = *kind, .ran = Ran::No});
        return;
    }
    enqueue(std::make_shared<BackendWork>(
        BackendWork{.request = request, .entry = entry, .arrived = arrived, .deadline = arrived + request.timeLeft}));
}

/** A call that its gate lets run. What refuses it from here on does so before the back end got anything of it. */
void TargetTraffic::runKeyed(const Uuid7 &key, const SubmitRequest &request, SteadyTime deadline)
{
    BackendWork work{.request = request, .arrived = std::chrono::steady_clock::now(), .deadline = deadline};
    work.key = key;
    enqueue(std::make_shared<BackendWork>(std::move(work)));
}

void TargetTraffic::enqueue(const Work &work)
{
    const auto &request = work->request;
    // A call with a key is let run some time after it came; the target may have left the inventory in between.
    if (self() == nullptr) {
        refuseWork(work, Error{.kind = ErrorKind::TargetWithdrawn, .ran = Ran::No});
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
        m_works.emplace(request.id, work);
        if (std::holds_alternative<Started>(offer)) {
            start(work);
        }
    }
    pump();
}

void TargetTraffic::start(const Work &work)
{
    const auto now = std::chrono::steady_clock::now();
    work->started = now;
    m_drain.begin(work->request.id, now);
    m_started.add();
    m_waiting.record(between(work->arrived, now));
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(work->deadline - now);
    work->call = m_client->stream(
        {.endpoint = self()->backend,
         .request = backendRequest(work->request),
         .timeout = std::max(timeout, std::chrono::milliseconds(1)) + (work->key ? KeyedGrace : NoGrace),
         .reuseConnection = work->request.mayRepeat},
        {.head = [this, work](int status, const std::vector<HttpHeader> &headers) { takeHead(work, status, headers); },
         .data = [this, work](std::string_view bytes) { return takeData(work, bytes); },
         .finished = [this, work] { takeFinished(work); },
         .failed = [this, work](const HttpClient::Failure &failure) { takeFailed(work, failure); }});
}

void TargetTraffic::takeHead(const Work &work, int status, const std::vector<HttpHeader> &headers)
{
    work->firstByte = std::chrono::steady_clock::now();
    work->headSent = true;
    m_limit->recordFirstToken(*work->started, m_queue.running(), *work->firstByte);
    applyLimit();
    if (self() != nullptr && self()->kind == TargetKind::Plain) {
        recordPace(between(*work->started, *work->firstByte));
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

bool TargetTraffic::takeData(const Work &work, std::string_view bytes)
{
    if (work->key) {
        work->answer.body.append(bytes);
        if (work->answer.body.size() > MostKeyedAnswer) {
            m_client->cancel(work->call);
            takeFailed(work, {.reason = "the answer to a call with a key is too long"});
        }
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    // While the answer is paused for a slow caller its gaps say nothing about the engine.
    if (work->lastChunk && !work->wasPaused) {
        m_limit->recordTokenGap(between(*work->lastChunk, now), m_queue.running(), now);
        applyLimit();
        recordPace(between(*work->lastChunk, now));
    }
    work->lastChunk = now;
    work->wasPaused = false;
    send(work->entry,
         AnswerChunk{.id = work->request.id, .sequence = work->chunks++, .bytes = Bytes(bytes.begin(), bytes.end())});
    work->sentBytes += bytes.size();
    // Without this bound a slow caller's answer would pile up in the entry, or here.
    work->paused = work->entry != nullptr && work->sentBytes - work->creditedBytes >= m_options.windowBytes;
    return !work->paused;
}

void TargetTraffic::credit(const GrantCredit &grant)
{
    const auto entry = m_works.find(grant.id);
    if (entry == m_works.end()) {
        return;
    }
    auto &work = *entry->second;
    work.creditedBytes = std::min(work.sentBytes, work.creditedBytes + grant.bytes);
    if (work.paused && work.sentBytes - work.creditedBytes < m_options.windowBytes / 2) {
        work.paused = false;
        work.wasPaused = true;
        m_client->resume(work.call);
    }
}

void TargetTraffic::takeFinished(const Work &work)
{
    finish(work);
    if (work->key) {
        m_keys->served(*work->key, work->answer);
        return;
    }
    send(work->entry, AnswerEnd{.id = work->request.id, .chunks = work->chunks});
}

void TargetTraffic::takeFailed(const Work &work, const HttpClient::Failure &failure)
{
    AnswerError error{.id = work->request.id, .detail = failure.reason};
    if (!failure.mayHaveArrived) {
        error.kind = ErrorKind::TargetUnreachable;
        error.ran = Ran::No;
    } else {
        error.kind = work->headSent ? ErrorKind::StreamBroken : ErrorKind::BackendFailed;
        error.ran = work->headSent ? Ran::Yes : Ran::Unknown;
    }
    m_metrics.errors(error.kind).add();
    logEvent(Severity::Warning, "backend-failed", {{"request", work->request.id.text()}, {"reason", failure.reason}});
    finish(work);
    if (work->key) {
        m_keys->served(*work->key, Error{.kind = error.kind, .detail = error.detail, .ran = error.ran});
        return;
    }
    send(work->entry, error);
}

void TargetTraffic::finish(const Work &work)
{
    const auto now = std::chrono::steady_clock::now();
    m_finished.add();
    m_drain.end(work->request.id);
    m_queue.finish(work->request.id, static_cast<double>(work->request.cost), now);
    m_works.erase(work->request.id);
    pump();
}

void TargetTraffic::cancel(const RequestId &id)
{
    m_keys->cancel(id);
    m_held.forget(id);
    const auto entry = m_works.find(id);
    if (entry == m_works.end()) {
        return;
    }
    const auto work = entry->second;
    if (work->key) {
        return; // other tries may wait for it, and its outcome has to be known
    }
    if (!work->started) {
        m_queue.cancel(id);
        m_works.erase(id);
        return;
    }
    work->entry.reset();
    if (mayCut(*work)) {
        m_client->cancel(work->call);
        finish(work);
        return;
    }
    // A call that may not be repeated is not cut in its middle: the service would be left half done. Its answer is
    // read to the end and dropped.
    if (work->paused) {
        work->paused = false;
        m_client->resume(work->call);
    }
}

void TargetTraffic::entryGone(const Socket &entry)
{
    m_entries.erase(entry);
    m_keys->entryGone(entry);
    if (m_controlSink.gone) {
        m_controlSink.gone(entry);
    }
    m_held.forget(entry);
    std::vector<RequestId> orphans;
    for (const auto &[id, work] : m_works) {
        if (work->entry == entry) {
            orphans.push_back(id);
        }
    }
    for (const auto &id : orphans) {
        cancel(id);
    }
}

void TargetTraffic::pump()
{
    const auto now = std::chrono::steady_clock::now();
    while (const auto id = m_queue.startNext(now)) {
        const auto entry = m_works.find(*id);
        if (entry != m_works.end()) {
            start(entry->second);
        }
    }
    for (const auto &givenUp : m_queue.collectAbandoned()) {
        const auto entry = m_works.find(givenUp.id);
        if (entry != m_works.end()) {
            const auto work = entry->second;
            m_works.erase(entry);
            refuseWork(work, givenUp.error);
        }
    }
}

void TargetTraffic::tick()
{
    // The limit may have grown, or what waits may have become too late.
    if (m_queue.waiting() > 0) {
        pump();
    }
    if (!m_held.isEmpty()) {
        releaseHeld();
    }
    ++m_ticksSinceReport;
    if (m_ticksSinceReport % TicksPerReport == 0) {
        reportLoad(m_ticksSinceReport >= TicksPerSignOfLife);
    }
}

void TargetTraffic::handBackWaiting(ErrorKind kind)
{
    std::vector<Work> waiting;
    for (const auto &[id, work] : m_works) {
        if (!work->started) {
            waiting.push_back(work);
        }
    }
    for (const auto &work : waiting) {
        m_queue.cancel(work->request.id);
        m_works.erase(work->request.id);
        refuseWork(work, Error{.kind = kind, .ran = Ran::No});
    }
}

void TargetTraffic::reportLoad(bool always)
{
    const auto load = m_queue.load();
    const auto *target = self();
    LoadReport report{.target = m_options.target,
                      .running = load.running,
                      .queued = load.waiting,
                      .limit = load.limit,
                      .draining = m_draining || target == nullptr || !m_view->takesWork(*target),
                      .load = load.runningCost + load.waitingCost,
                      .capacity = load.capacity,
                      .pressure = load.pressure,
                      .pendingPrompt = pendingPrompt(),
                      .warmth = m_limit->warmth(),
                      .tokenInterval = std::chrono::microseconds(static_cast<long long>(m_pace))};
    for (const auto &entry : m_entries) {
        report.loadOfEntry = loadOf(entry);
        // Entries with work here decide by it soon; the others need a sign of life.
        if (always || report.loadOfEntry > 0) {
            send(entry, report);
        }
    }
    m_ticksSinceReport = always ? 0 : m_ticksSinceReport;
}

void TargetTraffic::applyLimit()
{
    m_queue.setLimit(m_limit->limit());
}

void TargetTraffic::recordPace(std::chrono::microseconds time)
{
    constexpr double newestShare = 0.05;
    const auto measured = static_cast<double>(time.count());
    m_pace = m_pace == 0 ? measured : m_pace * (1 - newestShare) + measured * newestShare;
}

double TargetTraffic::pendingPrompt() const
{
    double pending = 0;
    for (const auto &[id, work] : m_works) {
        pending += work->started && !work->headSent ? static_cast<double>(work->request.uncachedPromptTokens) : 0;
    }
    return pending;
}

double TargetTraffic::loadOf(const Socket &entry) const
{
    double load = 0;
    for (const auto &[id, work] : m_works) {
        load += work->entry == entry ? static_cast<double>(work->request.cost) : 0;
    }
    return load;
}

/** Refuses work that the back end has got nothing of. */
void TargetTraffic::refuseWork(const Work &work, const Error &error)
{
    if (work->key) {
        auto notRun = error;
        notRun.ran = Ran::No;
        m_keys->served(*work->key, notRun);
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
