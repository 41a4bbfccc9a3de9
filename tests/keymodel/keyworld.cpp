#include "keyworld.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t GateCount = 3;
constexpr std::size_t MaxKeys = 4;
constexpr auto ClaimSpan = 8min;
/** Records expire no sooner than this. */
constexpr auto Retention = 30min;
constexpr int SettleRounds = 60;

KeyGate::Options optionsFor(KeySafeguards safeguards)
{
    KeyGate::Options options;
    options.window = 2h;
    options.ledger.window = 2h;
    options.claims.claimSpan = ClaimSpan;
    options.claims.activationSpan = 4min;
    options.safeguards = safeguards;
    return options;
}

GateId entryOf(std::size_t index)
{
    return {.process = ProcessName("entry" + std::to_string(index)), .incarnation = Incarnation{1}};
}

std::string show(const GateId &gate)
{
    return gate.process.text() + "/" + std::to_string(toNumber(gate.incarnation));
}

std::string show(const Uuid7 &key)
{
    return key.toString().substr(24);
}

std::string show(const AttemptId &attempt)
{
    return attempt.entry.process.text() + "#" + std::to_string(attempt.number);
}

} // namespace

KeyWorld::KeyWorld(std::uint64_t seed, FaultProfile profile, KeySafeguards safeguards)
    : m_random(seed)
    , m_profile(profile)
    , m_options(optionsFor(safeguards))
{
    m_nodes.resize(GateCount);
    for (std::size_t index = 0; index < GateCount; ++index) {
        startNode(index);
    }
    for (auto &node : m_nodes) {
        place(node);
    }
}

void KeyWorld::run(int steps)
{
    for (int index = 0; index < steps && m_violation.empty(); ++index) {
        step();
    }
}

bool KeyWorld::recovers()
{
    m_logUp = true;
    m_profile = {.loss = 0, .doubling = 0, .lostAppends = 0, .refusal = 0};
    for (auto &node : m_nodes) {
        node.paused = false;
        node.reachesLog = true;
    }
    // Past every promise and claim, a shard must be free again whatever happened before.
    for (int round = 0; round < 4; ++round) {
        m_now += ClaimSpan;
        settle();
    }
    const auto key = Uuid7::make(m_now, m_random.draw(), m_random.draw());
    sendRequest(key, m_wanted);
    settle();
    return m_violation.empty() && m_answers.contains(key);
}

const std::string &KeyWorld::violation() const
{
    return m_violation;
}

std::string KeyWorld::trace() const
{
    std::string text = m_violation + "\n";
    for (const auto &line : m_trace) {
        text += line + "\n";
    }
    return text;
}

std::uint64_t KeyWorld::executions() const
{
    return m_executions;
}

std::uint64_t KeyWorld::executionsWithoutLog() const
{
    return m_withoutLog;
}

void KeyWorld::step()
{
    if (!faultStep()) {
        ordinaryStep();
    }
}

bool KeyWorld::faultStep()
{
    if (chance(m_profile.crash)) {
        startNode(m_random.below(GateCount));
        return true;
    }
    if (chance(m_profile.pause)) {
        auto &node = randomNode();
        node.paused = !node.paused;
        note(node.paused ? "pause " : "wake ", show(node.id));
        return true;
    }
    if (chance(m_profile.outage)) {
        if (chance(500)) {
            m_logUp = !m_logUp;
            note(m_logUp ? "log well" : "log out");
        } else {
            auto &node = randomNode();
            node.reachesLog = !node.reachesLog;
            note(node.reachesLog ? "log reached by " : "log cut from ", show(node.id));
        }
        return true;
    }
    if (chance(m_profile.placement)) {
        m_wanted = m_random.below(GateCount);
        note("wanted ", m_wanted);
        return true;
    }
    if (chance(m_profile.cancel) && !m_attempts.empty()) {
        const auto attempt = std::next(m_attempts.begin(), static_cast<int>(m_random.below(m_attempts.size())))->first;
        m_letters.push_back({.from = attempt.entry, .to = randomNode().id, .payload = CancelOf{attempt}});
        return true;
    }
    if (chance(m_profile.trim)) {
        std::erase_if(m_log, [this](const auto &entry) { return entry.second.appended < m_now - Retention; });
        return true;
    }
    return false;
}

void KeyWorld::ordinaryStep()
{
    const auto kind = m_random.below(100);
    auto &node = randomNode();
    if (kind < 8) {
        if (m_keys.empty() || chance(300)) {
            const auto skew = std::chrono::seconds(m_random.below(60));
            m_keys.push_back(Uuid7::make(m_now - skew, m_random.draw(), m_random.draw()));
        }
        const auto recent = std::min<std::uint64_t>(MaxKeys, m_keys.size());
        sendRequest(m_keys[m_keys.size() - 1 - m_random.below(recent)],
                    chance(600) ? m_wanted : m_random.below(GateCount));
    } else if (kind < 38) {
        deliver();
    } else if (kind < 52) {
        appendStep();
    } else if (kind < 68) {
        readStep(node);
    } else if (kind < 78) {
        serviceStep();
    } else if (kind < 88) {
        if (!node.paused) {
            act(node, node.gate->tick(nowAt(node)));
        }
    } else if (kind < 92) {
        if (!node.paused) {
            act(node, node.gate->logChanged(m_logUp && node.reachesLog, nowAt(node)));
        }
    } else if (kind < 96) {
        if (!node.paused) {
            place(node);
        }
    } else {
        m_now += std::chrono::seconds(m_random.below(90));
    }
}

void KeyWorld::act(Node &node, KeyActions actions)
{
    for (auto &action : actions) {
        std::visit(Visitor{
                       [&](AppendBatch &append) {
                           m_appends.push_back({.writer = node.id, .batch = std::move(append.batch)});
                       },
                       [&](const RunCall &run) {
                           note(show(node.id), " runs ", show(run.key), " for ", show(run.attempt));
                           m_runs.push_back({.gate = node.id, .call = run});
                       },
                       [&](const AnswerCall &answer) { told(answer); },
                       [&](const SendToGate &send) {
                           note(show(node.id), " sends ", send.message.index(), " to ", show(send.to));
                           m_letters.push_back({.from = node.id, .to = send.to, .payload = send.message});
                       },
                   },
                   action);
    }
}

/** A gate's word on one try; it counts from the moment it is said, whether or not it arrives. */
void KeyWorld::told(const AnswerCall &answer)
{
    const auto key = m_allAttempts.at(answer.attempt);
    m_attempts.erase(answer.attempt);
    const auto *error = std::get_if<Error>(&answer.reply);
    const bool redirected = std::holds_alternative<KeyRedirect>(answer.reply);
    const bool notRun = error != nullptr && error->ranOrDefault() == Ran::No;
    note("told ", show(answer.attempt), " on ", show(key), ": ",
         redirected ? "ask elsewhere" : (error != nullptr ? answerFor(error->kind).name : "answered"));
    if (notRun && m_executed[key] > 0) {
        fail("told not run after it ran: " + show(key));
    }
    if (notRun || redirected) {
        m_toldNotRun.insert(answer.attempt);
    }
    if (redirected && m_executedFor.contains(answer.attempt)) {
        fail("sent elsewhere after it ran: " + show(answer.attempt));
    }
    if (const auto *stored = std::get_if<StoredAnswer>(&answer.reply)) {
        const auto [known, first] = m_answers.try_emplace(key, stored->body);
        if (known->second != stored->body || m_executed[key] == 0) {
            fail("two answers for one key: " + show(key));
        }
    }
}

void KeyWorld::startNode(std::size_t index)
{
    auto &node = m_nodes[index];
    const auto skew = std::chrono::seconds(m_random.below(2 * m_profile.clocksApart + 1));
    node = Node{.id = {.process = ProcessName("gate" + std::to_string(index)),
                       .incarnation = static_cast<Incarnation>(++m_incarnations)},
                .skew = skew - std::chrono::seconds(m_profile.clocksApart)};
    node.gate = std::make_unique<KeyGate>(node.id, m_options);
    note("start ", show(node.id));
    place(node);
}

/** Tells @p node who is wanted, as the world has it now; other nodes may still believe otherwise. */
void KeyWorld::place(Node &node)
{
    KeyPlacement placement;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (&m_nodes[index] != &node) {
            placement.witnesses.push_back(m_nodes[index].id);
        } else {
            placement.wanted = index == m_wanted;
        }
    }
    placement.preferred = m_nodes[m_wanted].id.process;
    act(node, node.gate->placementChanged(placement, nowAt(node)));
}

void KeyWorld::sendRequest(const Uuid7 &key, std::size_t to)
{
    const auto entry = m_random.below(m_attemptNumbers.size());
    const AttemptId attempt{.entry = entryOf(entry), .number = ++m_attemptNumbers[entry]};
    m_attempts[attempt] = key;
    m_allAttempts[attempt] = key;
    const auto fingerprint = fingerprintOf(WorkspaceName("w"), "POST", "/b", key.toString());
    m_letters.push_back({.from = attempt.entry,
                         .to = m_nodes[to].id,
                         .payload = KeyedCall{.attempt = attempt, .key = key, .fingerprint = fingerprint}});
}

void KeyWorld::deliver()
{
    if (m_letters.empty()) {
        return;
    }
    const auto place = m_random.below(m_letters.size());
    const auto letter = m_letters[place];
    auto *node = alive(letter.to);
    if (node != nullptr && node->paused) {
        return;
    }
    if (!chance(m_profile.doubling)) {
        m_letters.erase(m_letters.begin() + static_cast<std::ptrdiff_t>(place));
    }
    if (node != nullptr && !chance(m_profile.loss)) {
        deliverTo(*node, letter);
    }
}

void KeyWorld::deliverTo(Node &node, const Letter &letter)
{
    const auto now = nowAt(node);
    act(node,
        std::visit(Visitor{
                       [&](const KeyMessage &message) { return node.gate->message(letter.from, message, now); },
                       [&](const KeyedCall &call) { return node.gate->request(call, now); },
                       [&](const CancelOf &cancel) { return node.gate->cancel(cancel.attempt); },
                   },
                   letter.payload));
}

void KeyWorld::appendStep()
{
    if (m_appends.empty()) {
        return;
    }
    const auto place = m_random.below(m_appends.size());
    auto append = m_appends[place];
    auto *node = alive(append.writer);
    const bool reaches = m_logUp && (append.reported || node == nullptr || node->reachesLog);
    const bool replyLost = !append.reported && (!reaches || chance(m_profile.lostAppends));
    if (replyLost && chance(600)) {
        m_appends[place].reported = true; // may land later, when nobody expects it any more
    } else {
        m_appends.erase(m_appends.begin() + static_cast<std::ptrdiff_t>(place));
        if (reaches) {
            land(append);
        }
    }
    if (node != nullptr && !append.reported) {
        act(*node, node->gate->appended(append.batch.serial, !replyLost, nowAt(*node)));
    }
}

void KeyWorld::land(const Append &append)
{
    m_log[++m_lastOffset] = Record{.batch = append.batch, .appended = m_now};
    std::string records;
    for (const auto &record : append.batch.records) {
        records += std::visit(
            Visitor{
                [](const KeyIntent &intent) { return " intent " + show(intent.key); },
                [](const KeyOutcome &outcome) {
                    return " outcome " + show(outcome.key) + "=" + std::to_string(static_cast<int>(outcome.fate));
                },
                [](const KeyClaim &claim) { return " claim on " + std::to_string(toNumber(claim.basedOn)); },
            },
            record);
    }
    note("log ", m_lastOffset, ": ", show(append.batch.writer), " batch ", append.batch.serial, records);
}

void KeyWorld::readStep(Node &node)
{
    if (node.paused || !m_logUp || !node.reachesLog) {
        return;
    }
    const auto first = m_log.empty() ? m_lastOffset + 1 : m_log.begin()->first;
    if (first > node.readTo + 1) {
        node.readTo = first - 1;
        act(node, node.gate->recordsLost(static_cast<LogOffset>(node.readTo)));
    }
    const auto until = std::min(m_lastOffset, node.readTo + 1 + m_random.below(4));
    while (node.readTo < until) {
        ++node.readTo;
        act(node, node.gate->read(static_cast<LogOffset>(node.readTo), m_log.at(node.readTo).batch, nowAt(node)));
    }
    if (node.readTo == m_lastOffset) {
        act(node, node.gate->caughtUp(nowAt(node)));
    }
}

void KeyWorld::serviceStep()
{
    if (m_runs.empty()) {
        return;
    }
    const auto place = m_random.below(m_runs.size());
    auto &run = m_runs[place];
    auto *node = alive(run.gate);
    const bool refused = !run.executed && chance(m_profile.refusal);
    if (!refused && !run.executed) {
        execute(run);
        return;
    }
    const auto done = run;
    m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(place));
    if (node == nullptr) {
        return;
    }
    Result<StoredAnswer> result;
    if (refused) {
        result = Error{.kind = ErrorKind::TargetUnreachable, .ran = Ran::No};
    } else if (chance(m_profile.loss)) {
        result = Error{.kind = ErrorKind::BackendFailed, .ran = Ran::Unknown};
    } else {
        result = StoredAnswer{.status = 201, .body = std::to_string(m_executed[done.call.key])};
    }
    act(*node, node->gate->served(done.call.key, result));
}

void KeyWorld::execute(Run &run)
{
    run.executed = true;
    ++m_executions;
    m_withoutLog += m_logUp ? 0 : 1;
    m_executedFor.insert(run.call.attempt);
    note("service executes ", show(run.call.key), " for ", show(run.call.attempt), " of ", show(run.gate));
    if (++m_executed[run.call.key] > 1) {
        fail("executed twice: " + show(run.call.key));
    }
    if (m_toldNotRun.contains(run.call.attempt)) {
        fail("ran after told not run: " + show(run.call.attempt));
    }
}

void KeyWorld::settle()
{
    for (int round = 0; round < SettleRounds && m_violation.empty(); ++round) {
        for (auto &node : m_nodes) {
            place(node);
            act(node, node.gate->logChanged(true, nowAt(node)));
            act(node, node.gate->tick(nowAt(node)));
            readStep(node);
        }
        for (auto left = m_letters.size() + m_appends.size() + m_runs.size(); left > 0; --left) {
            deliver();
            appendStep();
            serviceStep();
        }
    }
}

void KeyWorld::fail(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what;
    }
}

KeyWorld::Node *KeyWorld::alive(const GateId &id)
{
    const auto node = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node &each) { return each.id == id; });
    return node == m_nodes.end() ? nullptr : &*node;
}

KeyWorld::Node &KeyWorld::randomNode()
{
    return m_nodes[m_random.below(m_nodes.size())];
}

WallTime KeyWorld::nowAt(const Node &node) const
{
    return m_now + node.skew;
}

bool KeyWorld::chance(std::uint64_t perThousand)
{
    return m_random.below(1000) < perThousand;
}

template<typename... Parts>
void KeyWorld::note(const Parts &...parts)
{
    std::ostringstream line;
    (line << ... << parts);
    m_trace.push_back(line.str());
}

} // namespace Heatherridge
