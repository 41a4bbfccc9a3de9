#include "heatherridge_transport/target/keyedcalls.h"

#include "heatherridge_transport/app/logger.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds TickInterval{50};
constexpr int TicksPerPresence = 10;
/** A gate from which nothing was received for this long is considered dead when shards are placed. Safety does not
 * depend on this. */
constexpr std::chrono::seconds PresenceTimeout{3};
/** Time that a new process waits for messages from others before it takes a shard for which another process ranks
 * higher. */
constexpr std::chrono::seconds StartupSettlingTime{2};
constexpr std::size_t WitnessCount = 2;
/** Time limit of appends and reads; determines how soon an outage of the log is detected. */
constexpr std::chrono::milliseconds LogTimeout{1000};

WallTime wallNow()
{
    return SystemClock().wallNow();
}

/** Addresses a frame to any incarnation of a process. */
constexpr Incarnation AnyIncarnation{0};

} // namespace

KeyedCalls::KeyedCalls(EventLoop &loop, Options options, const FrameEncoder &encoder, Metrics &metrics, Events events)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_ownGate{.process = ProcessName(m_options.target.text()), .incarnation = m_options.incarnation}
    , m_metrics(metrics)
    , m_events(std::move(events))
    , m_client(loop.context(), HttpClient::Options{})
    , m_log(m_client, {.endpoint = m_options.logService, .timeout = LogTimeout})
    , m_links(loop, encoder, metrics,
              TargetLinkEvents{.received = [](const TargetName &, const TrafficMessage &) {},
                               .control = [](const TargetName &, const Envelope &) {},
                               .up = [this](const TargetName &) { sendPresence(); },
                               .down = [this](const TargetName &target) { handlePeerDisconnect(target); }})
    , m_view(std::make_shared<const ConfigView>())
{
}

KeyedCalls::~KeyedCalls() = default;

void KeyedCalls::start()
{
    m_loop.every(TickInterval, [this] { tick(); });
}

void KeyedCalls::setView(const std::shared_ptr<const ConfigView> &view)
{
    m_view = view;
    const auto *target = view->inventory->find(m_options.target);
    if (target == nullptr || target->kind != TargetKind::Plain) {
        return;
    }
    if (m_service.isEmpty()) {
        open(*target);
    }
    std::map<TargetName, Endpoint> others;
    for (const auto *other : view->inventory->targetsOf(m_service)) {
        if (other->name != m_options.target) {
            others[other->name] = other->gate;
        }
    }
    m_links.setTargets(others);
    updatePlacement();
}

void KeyedCalls::drain()
{
    m_draining = true;
    updatePlacement();
}

bool KeyedCalls::accepts(const SubmitRequest &request) const
{
    return !m_service.isEmpty() && !request.key.isEmpty() && !request.mayRepeat;
}

void KeyedCalls::submit(const Socket &entry, const SubmitRequest &request, SteadyTime deadline)
{
    const auto key = Uuid7::parse(request.key.text());
    if (!key) {
        m_events.answer(
            entry, AnswerError{.id = request.id, .kind = ErrorKind::BadIdempotencyKey, .ran = ExecutionStatus::No});
        return;
    }
    // A message connection delivers each frame once and in order, so counting arrivals numbers the attempts as KeyGate
    // requires; frames from a closed connection are no longer read.
    const AttemptId attempt{.entry = m_ownGate, .number = ++m_lastAttempt};
    m_pendingCalls[attempt] = PendingCall{.entry = entry, .request = request, .deadline = deadline};
    m_attempts[request.id] = attempt;
    const std::string_view body(reinterpret_cast<const char *>(request.body.data()), request.body.size());
    const auto path = request.query.empty() ? request.path : request.path + "?" + request.query;
    auto &shard = shardFor(*key);
    shard.perform(shard.gate().requestReceived(
        {.attempt = attempt, .key = *key, .fingerprint = fingerprintOf(request.workspace, request.method, path, body)},
        wallNow()));
}

void KeyedCalls::cancel(const RequestId &id)
{
    const auto pending = m_attempts.find(id);
    if (pending == m_attempts.end()) {
        return;
    }
    const auto attempt = pending->second;
    m_pendingCalls.at(attempt).entry.reset();
    auto &shard = shardFor(*Uuid7::parse(m_pendingCalls.at(attempt).request.key.text()));
    shard.perform(shard.gate().cancel(attempt));
}

void KeyedCalls::handleEntryDisconnect(const Socket &entry)
{
    std::vector<RequestId> orphans;
    for (const auto &[attempt, pendingCall] : m_pendingCalls) {
        if (pendingCall.entry == entry) {
            orphans.push_back(pendingCall.request.id);
        }
    }
    for (const auto &id : orphans) {
        cancel(id);
    }
}

void KeyedCalls::completeCall(const Uuid7 &key, const Result<StoredAnswer> &result)
{
    auto &shard = shardFor(key);
    shard.perform(shard.gate().callCompleted(key, result));
}

void KeyedCalls::receive(const Envelope &envelope)
{
    const auto decoded = decodeKeyFrame(envelope.payload);
    const auto *frame = std::get_if<KeyFrame>(&decoded);
    if (frame == nullptr) {
        m_metrics.errors(ErrorKind::MalformedFrame).add();
        return;
    }
    if (frame->service != m_service || frame->to.process != m_ownGate.process
        || frame->from.process != envelope.sender) {
        return;
    }
    auto &peer = m_peers[frame->from.process];
    const bool isNewRun = peer.incarnation != frame->from.incarnation;
    peer = Peer{.incarnation = frame->from.incarnation, .lastHeard = std::chrono::steady_clock::now()};
    if (isNewRun) {
        updatePlacement();
    }
    // Messages for an earlier incarnation of this process refer to state that was lost.
    if (frame->to.incarnation == m_ownGate.incarnation) {
        auto &shard = *m_shards.at(toNumber(frame->shard));
        shard.perform(shard.gate().messageReceived(frame->from, frame->message, wallNow()));
    }
}

bool KeyedCalls::isIdle() const
{
    return m_pendingCalls.empty()
        && (m_service.isEmpty() || std::all_of(m_shards.begin(), m_shards.end(), [](const auto &shard) {
                return shard->gate().isRecorded() && shard->gate().openCalls() == 0;
            }));
}

void KeyedCalls::open(const Target &target)
{
    m_service = target.service;
    m_openedAt = std::chrono::steady_clock::now();
    for (std::uint32_t number = 0; number < KeyShardCount; ++number) {
        const auto shard = static_cast<KeyShard>(number);
        m_shards.at(number) = std::make_unique<KeyShardLink>(
            m_loop, m_log, m_ownGate,
            KeyShardLink::Options{.stream = StreamName("keys-" + m_service.text() + "-" + std::to_string(number))},
            [this, shard](const KeyAction &action) { perform(shard, action); });
        m_shards.at(number)->start();
    }
}

void KeyedCalls::tick()
{
    m_links.tick(std::chrono::steady_clock::now());
    if (m_service.isEmpty()) {
        return;
    }
    if (++m_ticks % TicksPerPresence == 0) {
        sendPresence();
        updatePlacement();
        updateCounters();
    }
    for (const auto &shard : m_shards) {
        shard->perform(shard->gate().tick(wallNow()));
    }
}

/** Passes the current placement of its shard to each gate. A gate ignores a placement that has not changed. */
void KeyedCalls::updatePlacement()
{
    if (m_service.isEmpty()) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    for (std::uint32_t number = 0; number < KeyShardCount; ++number) {
        auto &shard = *m_shards.at(number);
        shard.perform(shard.gate().placementChanged(placementOf(static_cast<KeyShard>(number), now), wallNow()));
    }
}

KeyPlacement KeyedCalls::placementOf(KeyShard shard, SteadyTime now) const
{
    KeyPlacement placement;
    const auto *self = m_view->inventory->find(m_options.target);
    placement.accepting = !m_draining && self != nullptr && m_view->takesWork(*self);
    for (const auto *target : holdersOf(*m_view->inventory, m_service, shard)) {
        const bool isSelf = target->name == m_options.target;
        if (!m_view->takesWork(*target) || (isSelf ? m_draining : !isAlive(*target, now))) {
            continue;
        }
        if (placement.preferredHolder.isEmpty()) {
            placement.preferredHolder = ProcessName(target->name.text());
            placement.shouldHold = isSelf;
        }
        const auto peer = m_peers.find(ProcessName(target->name.text()));
        if (!isSelf && peer != m_peers.end() && placement.witnesses.size() < WitnessCount) {
            placement.witnesses.push_back({.process = peer->first, .incarnation = peer->second.incarnation});
        }
    }
    return placement;
}

bool KeyedCalls::isAlive(const Target &target, SteadyTime now) const
{
    const auto peer = m_peers.find(ProcessName(target.name.text()));
    if (peer == m_peers.end()) {
        return now - m_openedAt < StartupSettlingTime;
    }
    return now - peer->second.lastHeard < PresenceTimeout;
}

/** A killed process closes its connections immediately; one that only lost its connections sends its presence again
 * within a second. */
void KeyedCalls::handlePeerDisconnect(const TargetName &target)
{
    const auto peer = m_peers.find(ProcessName(target.text()));
    if (peer != m_peers.end()) {
        peer->second.lastHeard -= PresenceTimeout;
        updatePlacement();
    }
}

void KeyedCalls::sendPresence()
{
    if (m_service.isEmpty()) {
        return;
    }
    for (const auto *other : m_view->inventory->targetsOf(m_service)) {
        if (other->name != m_options.target) {
            sendFrame(KeyShard{0}, {.process = ProcessName(other->name.text()), .incarnation = AnyIncarnation},
                      GatePresence{});
        }
    }
}

void KeyedCalls::sendFrame(KeyShard shard, const GateId &to, const KeyMessage &message)
{
    m_links.send(
        TargetName(to.process.text()), Channel::Keys,
        encode(KeyFrame{.service = m_service, .shard = shard, .from = m_ownGate, .to = to, .message = message}));
}

void KeyedCalls::perform(KeyShard shard, const KeyAction &action)
{
    std::visit(Visitor{
                   [](const AppendBatch &) {},
                   [&](const RunCall &run) {
                       const auto &pendingCall = m_pendingCalls.at(run.attempt);
                       const auto request = pendingCall.request;
                       m_events.run(run.key, request, pendingCall.deadline);
                   },
                   [&](const AnswerCall &answerCall) { answer(answerCall.attempt, answerCall.reply); },
                   [&](const SendKeyMessage &send) { sendFrame(shard, send.to, send.message); },
               },
               action);
}

void KeyedCalls::answer(const AttemptId &attempt, const KeyReply &reply)
{
    const auto pending = m_pendingCalls.find(attempt);
    if (pending == m_pendingCalls.end()) {
        return;
    }
    const auto pendingCall = std::move(pending->second);
    m_pendingCalls.erase(pending);
    const auto &id = pendingCall.request.id;
    m_attempts.erase(id);
    if (!pendingCall.entry) {
        return;
    }
    std::visit(Visitor{
                   [&](const StoredAnswer &stored) {
                       AnswerHead head{.id = id, .status = stored.status};
                       if (!stored.contentType.empty()) {
                           head.headers.push_back({.name = "Content-Type", .value = stored.contentType});
                       }
                       m_events.answer(pendingCall.entry, head);
                       m_events.answer(pendingCall.entry,
                                       AnswerChunk{.id = id, .bytes = Bytes(stored.body.begin(), stored.body.end())});
                       m_events.answer(pendingCall.entry, AnswerEnd{.id = id, .chunks = 1});
                   },
                   [&](const Error &error) {
                       m_metrics.errors(error.kind).add();
                       m_events.answer(pendingCall.entry,
                                       AnswerError{.id = id,
                                                   .kind = error.kind,
                                                   .ran = error.ranOrDefault(),
                                                   .retryAfter = error.retryAfter,
                                                   .detail = error.detail});
                   },
                   [&](const KeyRedirect &redirect) {
                       m_events.answer(pendingCall.entry,
                                       AnswerError{.id = id,
                                                   .kind = ErrorKind::KeyNotDecidable,
                                                   .ran = ExecutionStatus::Unknown,
                                                   .detail = "another process holds the key's shard",
                                                   .redirectTarget = TargetName(redirect.holder.text())});
                   },
               },
               reply);
}

void KeyedCalls::updateCounters()
{
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    std::int64_t held = 0;
    std::map<std::string, std::uint64_t> now;
    for (const auto &shard : m_shards) {
        const auto &counters = shard->gate().counters();
        now["run"] += counters.run;
        now["run-without-log"] += counters.runWithoutLog;
        now["repeat-answered"] += counters.repeatsAnswered;
        now["joined"] += counters.joined;
        now["mismatch"] += counters.mismatches;
        now["unknown"] += counters.unknown;
        now["expired"] += counters.expired;
        now["from-the-future"] += counters.fromTheFuture;
        now["not-decidable"] += counters.notDecidable;
        now["redirected"] += counters.redirected;
        now["full"] += counters.full;
        now["handed-over"] += counters.handedOver;
        now["inherited"] += counters.inherited;
        appends += shard->appends();
        records += shard->recordsAppended();
        held += shard->gate().isHolder() ? 1 : 0;
    }
    now["append"] = appends;
    now["record"] = records;
    for (const auto &[event, total] : now) {
        auto &exported = m_exportedCounts[event];
        m_metrics.counter("heatherridge_keys_total", "event=\"" + event + "\"").add(total - exported);
        exported = total;
    }
    m_metrics.gauge("heatherridge_key_shards_held").set(held);
}

KeyShardLink &KeyedCalls::shardFor(const Uuid7 &key)
{
    return *m_shards.at(toNumber(shardOf(key)));
}

} // namespace Heatherridge
