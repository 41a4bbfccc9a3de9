#include "heatherridge_transport/target/keyedcalls.h"

#include "heatherridge_transport/app/logger.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds Tick{50};
constexpr int TicksPerPresence = 10;
/** A gate that was not heard for this long is taken for dead when shards are placed. Says nothing about safety. */
constexpr std::chrono::seconds PresenceTimeout{3};
/** A new process waits this long for others to be heard before it takes a shard that is another's by rank. */
constexpr std::chrono::seconds Settling{2};
constexpr std::size_t WitnessCount = 2;
/** Append and read time limit: how soon an outage of the log is noticed. */
constexpr std::chrono::milliseconds LogTimeout{1000};

WallTime wallNow()
{
    return SystemClock().wallNow();
}

/** The run of a process that a frame to any of its runs is addressed to. */
constexpr Incarnation AnyRun{0};

} // namespace

KeyedCalls::KeyedCalls(EventLoop &loop, Options options, const FrameEncoder &encoder, Metrics &metrics, Events events)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_self{.process = ProcessName(m_options.target.text()), .incarnation = m_options.incarnation}
    , m_metrics(metrics)
    , m_events(std::move(events))
    , m_client(loop.context(), HttpClient::Options{})
    , m_log(m_client, {.endpoint = m_options.logService, .timeout = LogTimeout})
    , m_links(loop, encoder, metrics,
              TargetLinkEvents{.received = [](const TargetName &, const TrafficMessage &) {},
                               .control = [](const TargetName &, const Envelope &) {},
                               .up = [this](const TargetName &) { sendPresence(); },
                               .down = [this](const TargetName &target) { peerLost(target); }})
    , m_view(std::make_shared<const ConfigView>())
{
}

KeyedCalls::~KeyedCalls() = default;

void KeyedCalls::start()
{
    m_loop.every(Tick, [this] { tick(); });
}

void KeyedCalls::follow(const std::shared_ptr<const ConfigView> &view)
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
    m_links.follow(others);
    place();
}

void KeyedCalls::drain()
{
    m_draining = true;
    place();
}

bool KeyedCalls::takes(const SubmitRequest &request) const
{
    return !m_service.isEmpty() && !request.key.isEmpty() && !request.mayRepeat;
}

void KeyedCalls::submit(const Socket &entry, const SubmitRequest &request, SteadyTime deadline)
{
    const auto key = Uuid7::parse(request.key.text());
    if (!key) {
        m_events.answer(entry, AnswerError{.id = request.id, .kind = ErrorKind::BadIdempotencyKey, .ran = Ran::No});
        return;
    }
    // A message connection brings each frame once and in order, so that counting arrivals numbers the tries as
    // KeyGate wants them; a frame from a connection that is gone is not read any more.
    const AttemptId attempt{.entry = m_self, .number = ++m_lastAttempt};
    m_waiting[attempt] = Waiting{.entry = entry, .request = request, .deadline = deadline};
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
    const auto known = m_attempts.find(id);
    if (known == m_attempts.end()) {
        return;
    }
    const auto attempt = known->second;
    m_waiting.at(attempt).entry.reset();
    auto &shard = shardFor(*Uuid7::parse(m_waiting.at(attempt).request.key.text()));
    shard.perform(shard.gate().cancel(attempt));
}

void KeyedCalls::entryGone(const Socket &entry)
{
    std::vector<RequestId> orphans;
    for (const auto &[attempt, waiting] : m_waiting) {
        if (waiting.entry == entry) {
            orphans.push_back(waiting.request.id);
        }
    }
    for (const auto &id : orphans) {
        cancel(id);
    }
}

void KeyedCalls::served(const Uuid7 &key, const Result<StoredAnswer> &result)
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
    if (frame->service != m_service || frame->to.process != m_self.process || frame->from.process != envelope.sender) {
        return;
    }
    auto &peer = m_peers[frame->from.process];
    const bool isNews = peer.incarnation != frame->from.incarnation;
    peer = Peer{.incarnation = frame->from.incarnation, .heard = std::chrono::steady_clock::now()};
    if (isNews) {
        place();
    }
    // What is meant for an earlier run of this process rests on a memory that is gone.
    if (frame->to.incarnation == m_self.incarnation) {
        auto &shard = *m_shards.at(toNumber(frame->shard));
        shard.perform(shard.gate().messageReceived(frame->from, frame->message, wallNow()));
    }
}

bool KeyedCalls::isIdle() const
{
    return m_waiting.empty()
        && (m_service.isEmpty() || std::all_of(m_shards.begin(), m_shards.end(), [](const auto &shard) {
                return shard->gate().isRecorded() && shard->gate().openCalls() == 0;
            }));
}

void KeyedCalls::open(const Target &target)
{
    m_service = target.service;
    m_opened = std::chrono::steady_clock::now();
    for (std::uint32_t number = 0; number < KeyShardCount; ++number) {
        const auto shard = static_cast<KeyShard>(number);
        m_shards.at(number) = std::make_unique<KeyShardLink>(
            m_loop, m_log, m_self,
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
        place();
        count();
    }
    for (const auto &shard : m_shards) {
        shard->perform(shard->gate().tick(wallNow()));
    }
}

/** Tells each gate anew who is to hold its shard; it does nothing when that is what it knows. */
void KeyedCalls::place()
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
        return now - m_opened < Settling;
    }
    return now - peer->second.heard < PresenceTimeout;
}

/** A process that was killed closes its connections at once; one that only lost them says so within a second. */
void KeyedCalls::peerLost(const TargetName &target)
{
    const auto peer = m_peers.find(ProcessName(target.text()));
    if (peer != m_peers.end()) {
        peer->second.heard -= PresenceTimeout;
        place();
    }
}

void KeyedCalls::sendPresence()
{
    if (m_service.isEmpty()) {
        return;
    }
    for (const auto *other : m_view->inventory->targetsOf(m_service)) {
        if (other->name != m_options.target) {
            sendFrame(KeyShard{0}, {.process = ProcessName(other->name.text()), .incarnation = AnyRun}, GatePresence{});
        }
    }
}

void KeyedCalls::sendFrame(KeyShard shard, const GateId &to, const KeyMessage &message)
{
    m_links.send(TargetName(to.process.text()), Channel::Keys,
                 encode(KeyFrame{.service = m_service, .shard = shard, .from = m_self, .to = to, .message = message}));
}

void KeyedCalls::perform(KeyShard shard, const KeyAction &action)
{
    std::visit(Visitor{
                   [](const AppendBatch &) {},
                   [&](const RunCall &run) {
                       const auto &waiting = m_waiting.at(run.attempt);
                       const auto request = waiting.request;
                       m_events.run(run.key, request, waiting.deadline);
                   },
                   [&](const AnswerCall &told) { answer(told.attempt, told.reply); },
                   [&](const SendKeyMessage &send) { sendFrame(shard, send.to, send.message); },
               },
               action);
}

void KeyedCalls::answer(const AttemptId &attempt, const KeyReply &reply)
{
    const auto known = m_waiting.find(attempt);
    if (known == m_waiting.end()) {
        return;
    }
    const auto waiting = std::move(known->second);
    m_waiting.erase(known);
    const auto &id = waiting.request.id;
    m_attempts.erase(id);
    if (!waiting.entry) {
        return;
    }
    std::visit(Visitor{
                   [&](const StoredAnswer &stored) {
                       AnswerHead head{.id = id, .status = stored.status};
                       if (!stored.contentType.empty()) {
                           head.headers.push_back({.name = "Content-Type", .value = stored.contentType});
                       }
                       m_events.answer(waiting.entry, head);
                       m_events.answer(waiting.entry,
                                       AnswerChunk{.id = id, .bytes = Bytes(stored.body.begin(), stored.body.end())});
                       m_events.answer(waiting.entry, AnswerEnd{.id = id, .chunks = 1});
                   },
                   [&](const Error &error) {
                       m_metrics.errors(error.kind).add();
                       m_events.answer(waiting.entry,
                                       AnswerError{.id = id,
                                                   .kind = error.kind,
                                                   .ran = error.ranOrDefault(),
                                                   .retryAfter = error.retryAfter,
                                                   .detail = error.detail});
                   },
                   [&](const KeyRedirect &redirect) {
                       m_events.answer(waiting.entry,
                                       AnswerError{.id = id,
                                                   .kind = ErrorKind::KeyNotDecidable,
                                                   .ran = Ran::Unknown,
                                                   .detail = "another process holds the key's shard",
                                                   .redirectTarget = TargetName(redirect.holder.text())});
                   },
               },
               reply);
}

void KeyedCalls::count()
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
        auto &counted = m_counted[event];
        m_metrics.counter("heatherridge_keys_total", "event=\"" + event + "\"").add(total - counted);
        counted = total;
    }
    m_metrics.gauge("heatherridge_key_shards_held").set(held);
}

KeyShardLink &KeyedCalls::shardFor(const Uuid7 &key)
{
    return *m_shards.at(toNumber(shardOf(key)));
}

} // namespace Heatherridge
