#include "keysimulation.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t GateCount = 3;
constexpr std::size_t RecentKeys = 4;
constexpr auto ClaimSpan = 8min;
/** Minimum time for which the log keeps records. */
constexpr auto Retention = 30min;
constexpr int MaxSettleRounds = 60;

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

GateId entryId(std::size_t index)
{
    return {.process = ProcessName("entry" + std::to_string(index)), .incarnation = Incarnation{1}};
}

std::string toTraceText(const GateId &gate)
{
    return gate.process.text() + "/" + std::to_string(toNumber(gate.incarnation));
}

std::string toTraceText(const Uuid7 &key)
{
    return key.toString().substr(24);
}

std::string toTraceText(const AttemptId &attempt)
{
    return attempt.entry.process.text() + "#" + std::to_string(attempt.number);
}

} // namespace

KeySimulation::KeySimulation(std::uint64_t seed, FaultProfile profile, KeySafeguards safeguards)
    : m_random(seed)
    , m_profile(profile)
    , m_options(optionsFor(safeguards))
{
    m_nodes.resize(GateCount);
    for (std::size_t index = 0; index < GateCount; ++index) {
        startNode(index);
    }
    for (auto &node : m_nodes) {
        updatePlacement(node);
    }
}

void KeySimulation::run(int steps)
{
    for (int index = 0; index < steps && m_violation.empty(); ++index) {
        runStep();
    }
}

bool KeySimulation::recoversAfterFaults()
{
    m_logAvailable = true;
    m_profile = {.messageLoss = 0, .duplication = 0, .lostAppends = 0, .refusedCalls = 0};
    for (auto &node : m_nodes) {
        node.isPaused = false;
        node.canReachLog = true;
    }
    // Once all promises and claims have ended, the shard must be available again, whatever happened before.
    for (int round = 0; round < 4; ++round) {
        m_now += ClaimSpan;
        runUntilSettled();
    }
    const auto key = Uuid7::make(m_now, m_random.draw(), m_random.draw());
    sendRequest(key, m_preferredNode);
    runUntilSettled();
    return m_violation.empty() && m_answers.contains(key);
}

const std::string &KeySimulation::violation() const
{
    return m_violation;
}

std::string KeySimulation::trace() const
{
    std::string text = m_violation + "\n";
    for (const auto &line : m_trace) {
        text += line + "\n";
    }
    return text;
}

std::uint64_t KeySimulation::executions() const
{
    return m_executions;
}

std::uint64_t KeySimulation::executionsWithoutLog() const
{
    return m_executionsWithoutLog;
}

void KeySimulation::runStep()
{
    if (!runFaultStep()) {
        runOrdinaryStep();
    }
}

bool KeySimulation::runFaultStep()
{
    if (drawChance(m_profile.crash)) {
        startNode(m_random.below(GateCount));
        return true;
    }
    if (drawChance(m_profile.pause)) {
        auto &node = randomNode();
        node.isPaused = !node.isPaused;
        addTrace(node.isPaused ? "pause " : "resume ", toTraceText(node.id));
        return true;
    }
    if (drawChance(m_profile.outage)) {
        if (drawChance(500)) {
            m_logAvailable = !m_logAvailable;
            addTrace(m_logAvailable ? "log available" : "log unavailable");
        } else {
            auto &node = randomNode();
            node.canReachLog = !node.canReachLog;
            addTrace(node.canReachLog ? "log reachable from " : "log unreachable from ", toTraceText(node.id));
        }
        return true;
    }
    if (drawChance(m_profile.placement)) {
        m_preferredNode = m_random.below(GateCount);
        addTrace("preferred holder ", m_preferredNode);
        return true;
    }
    if (drawChance(m_profile.cancel) && !m_openAttempts.empty()) {
        const auto attempt =
            std::next(m_openAttempts.begin(), static_cast<int>(m_random.below(m_openAttempts.size())))->first;
        m_messages.push_back({.from = attempt.entry, .to = randomNode().id, .payload = Cancellation{attempt}});
        return true;
    }
    if (drawChance(m_profile.expiry)) {
        std::erase_if(m_log, [this](const auto &entry) { return entry.second.appended < m_now - Retention; });
        return true;
    }
    return false;
}

void KeySimulation::runOrdinaryStep()
{
    const auto kind = m_random.below(100);
    auto &node = randomNode();
    if (kind < 8) {
        if (m_keys.empty() || drawChance(300)) {
            const auto clockSkew = std::chrono::seconds(m_random.below(60));
            m_keys.push_back(Uuid7::make(m_now - clockSkew, m_random.draw(), m_random.draw()));
        }
        const auto recent = std::min<std::uint64_t>(RecentKeys, m_keys.size());
        sendRequest(m_keys[m_keys.size() - 1 - m_random.below(recent)],
                    drawChance(600) ? m_preferredNode : m_random.below(GateCount));
    } else if (kind < 38) {
        deliverRandomMessage();
    } else if (kind < 52) {
        completeRandomAppend();
    } else if (kind < 68) {
        readRecords(node);
    } else if (kind < 78) {
        completeRandomRun();
    } else if (kind < 88) {
        if (!node.isPaused) {
            perform(node, node.gate->tick(nowAt(node)));
        }
    } else if (kind < 92) {
        if (!node.isPaused) {
            perform(node, node.gate->logAvailabilityChanged(m_logAvailable && node.canReachLog, nowAt(node)));
        }
    } else if (kind < 96) {
        if (!node.isPaused) {
            updatePlacement(node);
        }
    } else {
        m_now += std::chrono::seconds(m_random.below(90));
    }
}

void KeySimulation::perform(Node &node, KeyActions actions)
{
    for (auto &action : actions) {
        std::visit(
            Visitor{
                [&](AppendBatch &append) {
                    m_appends.push_back({.writer = node.id, .batch = std::move(append.batch)});
                },
                [&](const RunCall &run) {
                    addTrace(toTraceText(node.id), " runs ", toTraceText(run.key), " for ", toTraceText(run.attempt));
                    m_runs.push_back({.gate = node.id, .call = run});
                },
                [&](const AnswerCall &answer) { recordAnswer(answer); },
                [&](const SendKeyMessage &send) {
                    addTrace(toTraceText(node.id), " sends ", send.message.index(), " to ", toTraceText(send.to));
                    m_messages.push_back({.from = node.id, .to = send.to, .payload = send.message});
                },
            },
            action);
    }
}

/** Records a gate's answer to an attempt and checks it. It counts from when it is sent, whether it arrives or not. */
void KeySimulation::recordAnswer(const AnswerCall &answer)
{
    const auto key = m_allAttempts.at(answer.attempt);
    m_openAttempts.erase(answer.attempt);
    const auto *error = std::get_if<Error>(&answer.reply);
    const bool redirected = std::holds_alternative<KeyRedirect>(answer.reply);
    const bool notRun = error != nullptr && error->ranOrDefault() == ExecutionStatus::No;
    addTrace("answer to ", toTraceText(answer.attempt), " for ", toTraceText(key), ": ",
             redirected ? "redirected" : (error != nullptr ? errorDescriptorFor(error->kind).name : "answered"));
    if (notRun && m_executionsByKey[key] > 0) {
        reportViolation("reported as not run after it ran: " + toTraceText(key));
    }
    if (notRun || redirected) {
        m_reportedNotRun.insert(answer.attempt);
    }
    if (redirected && m_executedAttempts.contains(answer.attempt)) {
        reportViolation("redirected after it ran: " + toTraceText(answer.attempt));
    }
    if (const auto *stored = std::get_if<StoredAnswer>(&answer.reply)) {
        const auto [known, isFirst] = m_answers.try_emplace(key, stored->body);
        if (known->second != stored->body || m_executionsByKey[key] == 0) {
            reportViolation("different answers for one key, or an answer without a run: " + toTraceText(key));
        }
    }
}

void KeySimulation::startNode(std::size_t index)
{
    auto &node = m_nodes[index];
    const auto clockSkew = std::chrono::seconds(m_random.below(2 * m_profile.maxClockSkewSeconds + 1));
    node = Node{.id = {.process = ProcessName("gate" + std::to_string(index)),
                       .incarnation = static_cast<Incarnation>(++m_incarnations)},
                .clockSkew = clockSkew - std::chrono::seconds(m_profile.maxClockSkewSeconds)};
    node.gate = std::make_unique<KeyGate>(node.id, m_options);
    addTrace("start ", toTraceText(node.id));
    updatePlacement(node);
}

/** Sends the current placement to @p node. Other nodes may still have an older one. */
void KeySimulation::updatePlacement(Node &node)
{
    KeyPlacement placement;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (&m_nodes[index] != &node) {
            placement.witnesses.push_back(m_nodes[index].id);
        } else {
            placement.shouldHold = index == m_preferredNode;
        }
    }
    placement.preferredHolder = m_nodes[m_preferredNode].id.process;
    perform(node, node.gate->placementChanged(placement, nowAt(node)));
}

void KeySimulation::sendRequest(const Uuid7 &key, std::size_t to)
{
    const auto entry = m_random.below(m_attemptNumbers.size());
    const AttemptId attempt{.entry = entryId(entry), .number = ++m_attemptNumbers[entry]};
    m_openAttempts[attempt] = key;
    m_allAttempts[attempt] = key;
    const auto fingerprint = fingerprintOf(WorkspaceName("w"), "POST", "/b", key.toString());
    m_messages.push_back({.from = attempt.entry,
                          .to = m_nodes[to].id,
                          .payload = KeyedCall{.attempt = attempt, .key = key, .fingerprint = fingerprint}});
}

void KeySimulation::deliverRandomMessage()
{
    if (m_messages.empty()) {
        return;
    }
    const auto position = m_random.below(m_messages.size());
    const auto message = m_messages[position];
    auto *node = findRunning(message.to);
    if (node != nullptr && node->isPaused) {
        return;
    }
    if (!drawChance(m_profile.duplication)) {
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
    }
    if (node != nullptr && !drawChance(m_profile.messageLoss)) {
        deliverTo(*node, message);
    }
}

void KeySimulation::deliverTo(Node &node, const Message &received)
{
    const auto now = nowAt(node);
    perform(node,
            std::visit(
                Visitor{
                    [&](const KeyMessage &message) { return node.gate->messageReceived(received.from, message, now); },
                    [&](const KeyedCall &call) { return node.gate->requestReceived(call, now); },
                    [&](const Cancellation &cancel) { return node.gate->cancel(cancel.attempt); },
                },
                received.payload));
}

void KeySimulation::completeRandomAppend()
{
    if (m_appends.empty()) {
        return;
    }
    const auto position = m_random.below(m_appends.size());
    auto append = m_appends[position];
    auto *node = findRunning(append.writer);
    const bool reachesLog = m_logAvailable && (append.isReportedFailed || node == nullptr || node->canReachLog);
    const bool replyLost = !append.isReportedFailed && (!reachesLog || drawChance(m_profile.lostAppends));
    if (replyLost && drawChance(600)) {
        m_appends[position].isReportedFailed = true; // may be logged later, when no gate expects it any more
    } else {
        m_appends.erase(m_appends.begin() + static_cast<std::ptrdiff_t>(position));
        if (reachesLog) {
            appendToLog(append);
        }
    }
    if (node != nullptr && !append.isReportedFailed) {
        perform(*node, node->gate->appendCompleted(append.batch.serial, !replyLost, nowAt(*node)));
    }
}

void KeySimulation::appendToLog(const Append &append)
{
    m_log[++m_lastOffset] = Record{.batch = append.batch, .appended = m_now};
    std::string records;
    for (const auto &record : append.batch.records) {
        records +=
            std::visit(Visitor{
                           [](const KeyIntent &intent) { return " intent " + toTraceText(intent.key); },
                           [](const KeyOutcome &outcome) {
                               return " outcome " + toTraceText(outcome.key) + "="
                                   + std::to_string(static_cast<int>(outcome.runState));
                           },
                           [](const KeyClaim &claim) { return " claim on " + std::to_string(toNumber(claim.basedOn)); },
                       },
                       record);
    }
    addTrace("log ", m_lastOffset, ": ", toTraceText(append.batch.writer), " batch ", append.batch.serial, records);
}

void KeySimulation::readRecords(Node &node)
{
    if (node.isPaused || !m_logAvailable || !node.canReachLog) {
        return;
    }
    const auto firstOffset = m_log.empty() ? m_lastOffset + 1 : m_log.begin()->first;
    if (firstOffset > node.readThrough + 1) {
        node.readThrough = firstOffset - 1;
        perform(node, node.gate->recordsExpired(static_cast<LogOffset>(node.readThrough)));
    }
    const auto until = std::min(m_lastOffset, node.readThrough + 1 + m_random.below(4));
    while (node.readThrough < until) {
        ++node.readThrough;
        perform(node,
                node.gate->recordRead(static_cast<LogOffset>(node.readThrough), m_log.at(node.readThrough).batch,
                                      nowAt(node)));
    }
    if (node.readThrough == m_lastOffset) {
        perform(node, node.gate->streamCaughtUp(nowAt(node)));
    }
}

void KeySimulation::completeRandomRun()
{
    if (m_runs.empty()) {
        return;
    }
    const auto position = m_random.below(m_runs.size());
    auto &run = m_runs[position];
    auto *node = findRunning(run.gate);
    const bool refused = !run.isExecuted && drawChance(m_profile.refusedCalls);
    if (!refused && !run.isExecuted) {
        execute(run);
        return;
    }
    const auto completed = run;
    m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(position));
    if (node == nullptr) {
        return;
    }
    Result<StoredAnswer> result;
    if (refused) {
        result = Error{.kind = ErrorKind::TargetUnreachable, .ran = ExecutionStatus::No};
    } else if (drawChance(m_profile.messageLoss)) {
        result = Error{.kind = ErrorKind::BackendFailed, .ran = ExecutionStatus::Unknown};
    } else {
        result = StoredAnswer{.status = 201, .body = std::to_string(m_executionsByKey[completed.call.key])};
    }
    perform(*node, node->gate->callCompleted(completed.call.key, result));
}

void KeySimulation::execute(Run &run)
{
    run.isExecuted = true;
    ++m_executions;
    m_executionsWithoutLog += m_logAvailable ? 0 : 1;
    m_executedAttempts.insert(run.call.attempt);
    addTrace("service executes ", toTraceText(run.call.key), " for ", toTraceText(run.call.attempt), " of ",
             toTraceText(run.gate));
    if (++m_executionsByKey[run.call.key] > 1) {
        reportViolation("executed twice: " + toTraceText(run.call.key));
    }
    if (m_reportedNotRun.contains(run.call.attempt)) {
        reportViolation("ran after it was reported as not run: " + toTraceText(run.call.attempt));
    }
}

void KeySimulation::runUntilSettled()
{
    for (int round = 0; round < MaxSettleRounds && m_violation.empty(); ++round) {
        for (auto &node : m_nodes) {
            updatePlacement(node);
            perform(node, node.gate->logAvailabilityChanged(true, nowAt(node)));
            perform(node, node.gate->tick(nowAt(node)));
            readRecords(node);
        }
        for (auto remaining = m_messages.size() + m_appends.size() + m_runs.size(); remaining > 0; --remaining) {
            deliverRandomMessage();
            completeRandomAppend();
            completeRandomRun();
        }
    }
}

void KeySimulation::reportViolation(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what;
    }
}

KeySimulation::Node *KeySimulation::findRunning(const GateId &id)
{
    const auto node = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node &each) { return each.id == id; });
    return node == m_nodes.end() ? nullptr : &*node;
}

KeySimulation::Node &KeySimulation::randomNode()
{
    return m_nodes[m_random.below(m_nodes.size())];
}

WallTime KeySimulation::nowAt(const Node &node) const
{
    return m_now + node.clockSkew;
}

bool KeySimulation::drawChance(std::uint64_t perThousand)
{
    return m_random.below(1000) < perThousand;
}

template<typename... Parts>
void KeySimulation::addTrace(const Parts &...parts)
{
    std::ostringstream line;
    (line << ... << parts);
    m_trace.push_back(line.str());
}

} // namespace Heatherridge
