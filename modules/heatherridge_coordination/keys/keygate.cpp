#include "heatherridge_coordination/keys/keygate.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Entry runs whose highest attempt number is kept. Entries restart far less often than this many times a minute. */
constexpr std::size_t MaxTrackedEntries = 8192;

KeyLedger::Options ledgerOptions(const KeyGate::Options &options)
{
    auto ledger = options.ledger;
    ledger.safeguards = options.safeguards;
    return ledger;
}

ClaimManager::Options claimOptions(const KeyGate::Options &options)
{
    auto claims = options.claims;
    claims.safeguards = options.safeguards;
    return claims;
}

} // namespace

KeyGate::KeyGate(GateId self, Options options)
    : m_self(std::move(self))
    , m_options(options)
    , m_ledger(ledgerOptions(options))
    , m_claimManager(m_self, claimOptions(options))
    , m_witnessPromises(2 * options.window, options.safeguards)
    , m_writer(m_self)
{
}

KeyActions KeyGate::requestReceived(const KeyedCall &call, WallTime now)
{
    if (registerAttempt(call.attempt)) {
        decide({.call = call, .since = now}, now);
        flush();
    } else {
        ++m_counters.duplicateAttempts;
    }
    return takeActions();
}

KeyActions KeyGate::cancel(const AttemptId &attempt)
{
    const bool wasParked = m_calls.unpark(attempt);
    const auto *call = m_calls.removeWaiter(attempt);
    if (!wasParked && call == nullptr) {
        return takeActions();
    }
    // Another holder may have run an earlier attempt of the key before this attempt's intent reaches the log. That this
    // attempt never ran does not prove that the key never ran.
    const bool isUnsent = wasParked || (call->state == CallState::Announced && call->waiters.empty());
    refuse(attempt, isUnsent ? ErrorKind::KeyNotDecidable : ErrorKind::KeyRunning, ExecutionStatus::Unknown);
    return takeActions();
}

KeyActions KeyGate::callCompleted(const Uuid7 &key, Result<StoredAnswer> result)
{
    assert(m_calls.find(key) != nullptr && m_calls.find(key)->state == CallState::Running);
    const auto call = m_calls.close(key);
    std::visit(Visitor{
                   [&](const StoredAnswer &stored) {
                       auto storedCopy = stored;
                       if (storedCopy.body.size() > StoredAnswer::MaxBodyBytes) {
                           storedCopy.body.clear();
                           storedCopy.bodyDropped = true;
                       }
                       recordOutcome(key, call, RunState::Answered, storedCopy);
                   },
                   [&](const Error &error) {
                       const bool notRun = error.ranOrDefault() == ExecutionStatus::No;
                       recordOutcome(key, call, notRun ? RunState::NotRun : RunState::Unknown, {});
                   },
               },
               result);
    for (const auto &waiter : call.waiters) {
        std::visit([&](const auto &response) { sendAnswer(waiter, response); }, result);
    }
    // The outcome is appended with the next intent or at the next tick. A separate append would delay that intent.
    return takeActions();
}

KeyActions KeyGate::recordRead(LogOffset offset, std::optional<KeyBatch> batch, WallTime now)
{
    const auto copy = batch;
    m_ledger.apply(offset, std::move(batch));
    if (copy && copy->writer == m_self && m_writer.confirmReadBack(copy->serial)) {
        handleOwnBatch(*copy);
    }
    if (copy) {
        m_unrecorded.eraseRecorded(*copy, m_ledger);
    }
    advance(now);
    return takeActions();
}

KeyActions KeyGate::recordsExpired(LogOffset through)
{
    m_ledger.recordsExpired(through);
    for (const auto &record : m_writer.abandon()) {
        handleLostRecord(record);
    }
    return takeActions();
}

KeyActions KeyGate::streamCaughtUp(WallTime now)
{
    m_caughtUp = true;
    advance(now);
    return takeActions();
}

KeyActions KeyGate::appendCompleted(std::uint64_t serial, bool ok, WallTime now)
{
    m_writer.appendCompleted(serial, ok);
    if (ok && !m_options.safeguards.intentsReadBack) {
        for (const auto &record : m_writer.unconfirmedRecords()) {
            if (const auto *intent = std::get_if<KeyIntent>(&record)) {
                auto *call = m_calls.find(intent->key);
                if (call != nullptr && call->state == CallState::Announced && !call->waiters.empty()) {
                    run(intent->key, *call);
                }
            }
        }
    }
    if (ok) {
        advance(now);
    }
    return takeActions();
}

KeyActions KeyGate::logAvailabilityChanged(bool available, WallTime now)
{
    m_logAvailable = available;
    advance(now);
    return takeActions();
}

KeyActions KeyGate::placementChanged(KeyPlacement placement, WallTime now)
{
    m_claimManager.setPlacement(std::move(placement));
    advance(now);
    return takeActions();
}

KeyActions KeyGate::messageReceived(const GateId &from, const KeyMessage &message, WallTime now)
{
    handle(from, message, now);
    advance(now);
    return takeActions();
}

KeyActions KeyGate::tick(WallTime now)
{
    for (const auto &request : m_claimManager.pendingRequests(m_ledger, now, m_logAvailable)) {
        send(request.to, request.message, now);
    }
    advance(now);
    return takeActions();
}

const KeyLedger &KeyGate::ledger() const
{
    return m_ledger;
}

bool KeyGate::isHolder() const
{
    return m_claimManager.canAnnounce(m_ledger);
}

std::size_t KeyGate::openCalls() const
{
    return m_calls.size();
}

bool KeyGate::isRecorded() const
{
    return m_writer.isEmpty();
}

const KeyGateCounters &KeyGate::counters() const
{
    return m_counters;
}

/**
 * Records @p attempt and returns whether it is new. A frame that arrives twice or out of order may belong to an attempt
 * that was already reported as not run. Running it later would make that report false.
 */
bool KeyGate::registerAttempt(const AttemptId &attempt)
{
    if (!m_options.safeguards.attemptsOnce) {
        return !m_calls.hasWaiter(attempt);
    }
    auto &highest = m_highestAttempts[attempt.entry];
    if (attempt.number <= highest) {
        return false;
    }
    highest = attempt.number;
    if (m_highestAttempts.size() > MaxTrackedEntries) {
        m_highestAttempts.erase(m_highestAttempts.begin()->first == attempt.entry ? std::next(m_highestAttempts.begin())
                                                                                  : m_highestAttempts.begin());
    }
    return true;
}

/** Answers @p waiting if its key is known or open; otherwise passes it to admit(). */
void KeyGate::decide(const ParkedCall &waiting, WallTime now)
{
    const auto &keyedCall = waiting.call;
    if (const auto *open = m_calls.find(keyedCall.key)) {
        join(*open, keyedCall);
        return;
    }
    const auto entry = m_unrecorded.find(keyedCall.key, m_ledger);
    const bool isReleased = entry && entry->runState == RunState::NotRun;
    const bool isDeadRun = entry && entry->runState == RunState::Open && !m_options.safeguards.deadRunsUnknown;
    const bool mayWait = now - waiting.since <= m_options.maxParkTime && m_calls.size() < m_options.maxCalls;
    if (entry && !isDeadRun && entry->fingerprint == keyedCall.fingerprint && mayOutcomeFollow(*entry) && mayWait) {
        m_calls.park(waiting);
    } else if (entry && !isReleased && !isDeadRun) {
        answerFromEntry(*entry, keyedCall);
    } else if (entry && entry->fingerprint != keyedCall.fingerprint) {
        ++m_counters.mismatches;
        refuse(keyedCall.attempt, ErrorKind::KeyMismatch);
    } else {
        admit(waiting, isReleased, now);
    }
}

/** Returns whether another process runs the call of @p entry and handed the shard over, so that it was alive then. */
bool KeyGate::mayOutcomeFollow(const KeyEntry &entry) const
{
    return entry.runState == RunState::Open && m_claimManager.hasHandOverFrom(entry.runner);
}

void KeyGate::join(const OpenCall &call, const KeyedCall &keyedCall)
{
    if (call.fingerprint != keyedCall.fingerprint) {
        ++m_counters.mismatches;
        refuse(keyedCall.attempt, ErrorKind::KeyMismatch);
        return;
    }
    if (call.waiters.size() >= m_options.maxWaiters) {
        refuse(keyedCall.attempt, ErrorKind::KeyRunning);
        return;
    }
    ++m_counters.joined;
    m_calls.join(keyedCall);
}

void KeyGate::answerFromEntry(const KeyEntry &entry, const KeyedCall &keyedCall)
{
    if (entry.fingerprint != keyedCall.fingerprint) {
        ++m_counters.mismatches;
        refuse(keyedCall.attempt, ErrorKind::KeyMismatch);
        return;
    }
    if (entry.runState != RunState::Answered) {
        ++m_counters.unknown;
        refuse(keyedCall.attempt, ErrorKind::KeyOutcomeUnknown);
        return;
    }
    if (entry.answer.bodyDropped) {
        ++m_counters.unknown;
        refuse(keyedCall.attempt, ErrorKind::KeyOutcomeUnknown, ExecutionStatus::Yes);
        return;
    }
    ++m_counters.repeatsAnswered;
    sendAnswer(keyedCall.attempt, entry.answer);
}

/** Returns the error for a key created at @p time that is outside the accepted window at @p now, if it is. */
std::optional<ErrorKind> KeyGate::checkCreationTime(WallTime time, WallTime now)
{
    if (time > now + m_options.claims.tolerance) {
        ++m_counters.fromTheFuture;
        return ErrorKind::BadIdempotencyKey;
    }
    if (time < now - m_options.window) {
        ++m_counters.expired;
        return ErrorKind::KeyExpired;
    }
    return std::nullopt;
}

/** Decides on a key that is not known to have run. @p isReleased is set if the key is known not to have run. */
void KeyGate::admit(const ParkedCall &waiting, bool isReleased, WallTime now)
{
    const auto &keyedCall = waiting.call;
    const auto time = keyedCall.key.time();
    const bool isHolderNow = m_claimManager.canAnnounce(m_ledger);
    const auto &placement = m_claimManager.placement();
    if (const auto error = checkCreationTime(time, now)) {
        refuse(keyedCall.attempt, *error);
        return;
    }
    if (!placement.accepting) {
        redirect(keyedCall.attempt);
        return;
    }
    if (m_calls.size() >= m_options.maxCalls) {
        ++m_counters.full;
        refuse(keyedCall.attempt, ErrorKind::QueueFull, ExecutionStatus::Unknown);
    } else if (m_logAvailable && isHolderNow && !isReleased && !m_ledger.canDecide(time)) {
        ++m_counters.unknown;
        refuse(keyedCall.attempt, ErrorKind::KeyOutcomeUnknown);
    } else if (m_logAvailable && isHolderNow) {
        announce(keyedCall);
    } else if (m_claimManager.canRunWithoutLog(m_ledger, time)) {
        startWithoutLog(keyedCall);
    } else if (isHolderNow || placement.shouldHold) {
        // The witnesses' promises may arrive shortly, or the take-over may complete.
        m_calls.park(waiting);
    } else {
        redirect(keyedCall.attempt);
    }
}

/** Decides again on the parked attempts. Refuses or redirects those that have waited longer than maxParkTime. */
void KeyGate::retryParked(WallTime now)
{
    const bool isHolderNow = m_claimManager.canAnnounce(m_ledger);
    for (const auto &parked : m_calls.takeParked()) {
        const auto entry = m_unrecorded.find(parked.call.key, m_ledger);
        const bool hasRun = entry && entry->runState != RunState::NotRun;
        if (hasRun || now - parked.since <= m_options.maxParkTime) {
            decide(parked, now);
            continue;
        }
        if (isHolderNow) {
            // The shard may have a new holder that this process does not know of, because it can't read the log.
            ++m_counters.notDecidable;
            refuse(parked.call.attempt, ErrorKind::KeyNotDecidable, ExecutionStatus::Unknown);
        } else {
            redirect(parked.call.attempt);
        }
    }
}

void KeyGate::announce(const KeyedCall &keyedCall)
{
    m_calls.open(keyedCall);
    m_writer.add(KeyIntent{.key = keyedCall.key, .fingerprint = keyedCall.fingerprint, .runner = m_self});
}

void KeyGate::startWithoutLog(const KeyedCall &keyedCall)
{
    ++m_counters.runWithoutLog;
    announce(keyedCall);
    run(keyedCall.key, *m_calls.find(keyedCall.key));
}

void KeyGate::run(const Uuid7 &key, OpenCall &call)
{
    assert(!call.waiters.empty());
    call.state = CallState::Running;
    m_unrecorded.erase(key);
    ++m_counters.run;
    m_actions.push_back(RunCall{.key = key, .attempt = call.waiters.front()});
}

/** Handles an own intent that was read back. It is valid if it is the first for its key and written by the holder. */
void KeyGate::handleOwnIntent(const KeyIntent &intent)
{
    auto *call = m_calls.find(intent.key);
    if (call == nullptr || call->state != CallState::Announced) {
        return;
    }
    const auto *entry = m_ledger.find(intent.key);
    const bool isAccepted = entry != nullptr && entry->runState == RunState::Open && entry->runner == m_self;
    if (isAccepted && !call->waiters.empty()) {
        run(intent.key, *call);
    } else if (isAccepted) {
        recordOutcome(intent.key, m_calls.close(intent.key), RunState::NotRun, {});
    } else {
        closeUnrunCall(intent.key, entry == nullptr ? std::nullopt : std::optional(*entry));
    }
}

/** Closes an announced call that this process may not run, and answers its attempts from @p entry. */
void KeyGate::closeUnrunCall(const Uuid7 &key, const std::optional<KeyEntry> &entry)
{
    const auto call = m_calls.close(key);
    for (const auto &waiter : call.waiters) {
        if (entry && entry->runState != RunState::NotRun) {
            answerFromEntry(*entry, {.attempt = waiter, .key = key, .fingerprint = call.fingerprint});
        } else {
            redirect(waiter);
        }
    }
}

/**
 * Handles an own record that may have been logged among those that expired unread. It must not be appended again with
 * the same serial: readers that saw the first copy would skip the second, while this process would take it for the
 * first.
 */
void KeyGate::handleLostRecord(const KeyRecord &record)
{
    std::visit(Visitor{
                   [this](const KeyIntent &intent) {
                       const auto *call = m_calls.find(intent.key);
                       if (call != nullptr && call->state == CallState::Announced) {
                           closeUnrunCall(intent.key,
                                          KeyEntry{.fingerprint = call->fingerprint, .runState = RunState::Unknown});
                       }
                   },
                   [this](const KeyOutcome &outcome) {
                       if (outcome.runState != RunState::NotRun) {
                           m_writer.add(outcome);
                       }
                   },
                   [this](const KeyClaim &) { m_claimManager.confirmClaimReadBack(); },
               },
               record);
}

void KeyGate::handleOwnBatch(const KeyBatch &batch)
{
    for (const auto &record : batch.records) {
        std::visit(Visitor{
                       [this](const KeyIntent &intent) { handleOwnIntent(intent); },
                       [](const KeyOutcome &) {},
                       [this](const KeyClaim &) { m_claimManager.confirmClaimReadBack(); },
                   },
                   record);
    }
}

/** Runs the calls that wait for their intent to be read back, if they may run without the log. */
void KeyGate::runAnnouncedWithoutLog()
{
    if (m_logAvailable) {
        return;
    }
    for (auto &[key, call] : m_calls.calls()) {
        const bool isWaiting = call.state == CallState::Announced && !call.waiters.empty();
        if (isWaiting && m_claimManager.canRunWithoutLog(m_ledger, key.time())) {
            // The intent in flight was written before this gate had the right to run without the log, and may be
            // invalid.
            m_writer.add(KeyIntent{.key = key, .fingerprint = call.fingerprint, .runner = m_self});
            ++m_counters.runWithoutLog;
            run(key, call);
        }
    }
}

/** Closes the calls that wait for their intent but, according to a hand-over, have been run by another process. */
void KeyGate::closeCallsRunElsewhere()
{
    std::vector<Uuid7> runElsewhere;
    for (const auto &[key, call] : m_calls.calls()) {
        const auto entry = m_unrecorded.find(key, m_ledger);
        const bool isOwnRun = entry && entry->runner == m_self && entry->runState == RunState::Open;
        if (call.state == CallState::Announced && entry && !isOwnRun && entry->runState != RunState::NotRun) {
            runElsewhere.push_back(key);
        }
    }
    for (const auto &key : runElsewhere) {
        closeUnrunCall(key, m_unrecorded.find(key, m_ledger));
    }
}

void KeyGate::recordOutcome(const Uuid7 &key, const OpenCall &call, RunState runState, const StoredAnswer &answer)
{
    const KeyOutcome outcome{
        .key = key, .fingerprint = call.fingerprint, .runner = m_self, .runState = runState, .answer = answer};
    m_unrecorded.update(outcome);
    m_writer.add(outcome);
}

void KeyGate::sendAnswer(const AttemptId &attempt, KeyReply reply)
{
    m_actions.push_back(AnswerCall{.attempt = attempt, .reply = std::move(reply)});
}

void KeyGate::refuse(const AttemptId &attempt, ErrorKind kind, std::optional<ExecutionStatus> ran)
{
    sendAnswer(attempt, Error{.kind = kind, .ran = ran});
}

void KeyGate::redirect(const AttemptId &attempt)
{
    ++m_counters.redirected;
    const auto &claim = m_ledger.claim();
    const auto receiver = m_claimManager.releasedTo(m_ledger);
    ProcessName holder = m_claimManager.placement().preferredHolder;
    if (receiver) {
        holder = receiver->process;
    } else if (claim && claim->claim.id.holder.process != m_self.process) {
        holder = claim->claim.id.holder.process;
    }
    sendAnswer(attempt, KeyRedirect{.holder = holder == m_self.process ? ProcessName{} : holder});
}

void KeyGate::send(const GateId &to, const KeyMessage &message, WallTime now)
{
    if (to == m_self) {
        handle(m_self, message, now);
        return;
    }
    m_actions.push_back(SendKeyMessage{.to = to, .message = message});
}

void KeyGate::handle(const GateId &from, const KeyMessage &message, WallTime now)
{
    std::visit(Visitor{
                   [&](const ActivateRequest &request) {
                       if (const auto reply = m_witnessPromises.activate(request, now)) {
                           send(from, *reply, now);
                       }
                   },
                   [&](const RevokeRequest &request) {
                       if (const auto reply = m_witnessPromises.revoke(request, now)) {
                           send(from, *reply, now);
                       }
                   },
                   [&](const ActivateReply &reply) { m_claimManager.handleReply(from, reply); },
                   [&](const RevokeReply &reply) { m_claimManager.handleReply(from, reply, m_ledger); },
                   [&](const ReleaseRequest &request) { handOver(from, request); },
                   [&](const ReleaseReply &reply) { acceptHandOver(reply); },
                   [](const GatePresence &) {},
               },
               message);
}

/** Hands the shard over, or repeats an earlier hand-over whose message may have been lost. */
void KeyGate::handOver(const GateId &to, const ReleaseRequest &request)
{
    if (m_lastHandOver && m_lastHandOver->first == to && m_lastHandOver->second.claim.claim.id == request.claim) {
        m_actions.push_back(SendKeyMessage{.to = to, .message = m_lastHandOver->second});
        return;
    }
    if (!m_claimManager.canRelease(to, request, m_ledger)) {
        return;
    }
    auto knownRecords = request.withOfflineRight ? m_unrecorded.snapshot(m_ledger) : std::vector<KeyRecord>{};
    const auto unconfirmedRecords = m_writer.unconfirmedRecords();
    if (knownRecords.size() > MaxHandOverRecords || unconfirmedRecords.size() > MaxHandOverRecords) {
        return;
    }
    auto reply = m_claimManager.release(to, request, m_ledger);
    if (m_options.safeguards.releaseCarriesRuns) {
        reply.known = std::move(knownRecords);
        std::copy_if(unconfirmedRecords.begin(), unconfirmedRecords.end(), std::back_inserter(reply.unrecorded),
                     [](const KeyRecord &record) { return !std::holds_alternative<KeyClaim>(record); });
    }
    ++m_counters.handedOver;
    m_lastHandOver = std::pair(to, reply);
    m_actions.push_back(SendKeyMessage{.to = to, .message = std::move(reply)});
}

void KeyGate::acceptHandOver(const ReleaseReply &reply)
{
    if (!m_claimManager.acceptHandOver(reply)) {
        return;
    }
    ++m_counters.inherited;
    for (const auto &record : reply.known) {
        m_unrecorded.update(record);
    }
    for (const auto &record : reply.unrecorded) {
        m_unrecorded.update(record);
        m_writer.add(record);
    }
    closeCallsRunElsewhere();
}

/** Performs the steps that the last event has made possible. */
void KeyGate::advance(WallTime now)
{
    runAnnouncedWithoutLog();
    retryParked(now);
    if (m_logAvailable && m_caughtUp) {
        if (const auto claim = m_claimManager.nextClaim(m_ledger, now)) {
            m_writer.add(*claim);
        }
    }
    flush();
}

void KeyGate::flush()
{
    if (!m_logAvailable) {
        return;
    }
    if (auto batch = m_writer.nextBatch(m_ledger.view(), m_claimManager.onBehalfOf(m_ledger))) {
        m_actions.push_back(AppendBatch{.batch = std::move(*batch)});
    }
}

KeyActions KeyGate::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace Heatherridge
