#include "heatherridge_coordination/keys/keygate.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Entries' runs whose last number is kept. An entry restarts far less often than this many times within a minute. */
constexpr std::size_t MaxEntryRuns = 8192;

KeyLedger::Options ledgerOptions(const KeyGate::Options &options)
{
    auto ledger = options.ledger;
    ledger.safeguards = options.safeguards;
    return ledger;
}

ClaimKeeper::Options claimOptions(const KeyGate::Options &options)
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
    , m_claims(m_self, claimOptions(options))
    , m_witness(2 * options.window, options.safeguards)
    , m_writer(m_self)
{
}

KeyActions KeyGate::request(const KeyedCall &call, WallTime now)
{
    if (isNew(call.attempt)) {
        decide(call, now);
        flush();
    } else {
        ++m_counters.late;
    }
    return takeActions();
}

KeyActions KeyGate::cancel(const AttemptId &attempt)
{
    const bool parked = m_calls.unpark(attempt);
    const auto *call = m_calls.leave(attempt);
    if (!parked && call == nullptr) {
        return takeActions();
    }
    // Another holder may have run an earlier try of the key before the intent of this one gets to the log: that this
    // try never ran is no proof that the key did not.
    const bool notSent = parked || (call->state == CallState::Announced && call->waiters.empty());
    refuse(attempt, notSent ? ErrorKind::KeyNotDecidable : ErrorKind::KeyRunning, Ran::Unknown);
    return takeActions();
}

KeyActions KeyGate::served(const Uuid7 &key, Result<StoredAnswer> result)
{
    assert(m_calls.find(key) != nullptr && m_calls.find(key)->state == CallState::Running);
    const auto call = m_calls.close(key);
    std::visit(Visitor{
                   [&](const StoredAnswer &stored) {
                       auto kept = stored;
                       if (kept.body.size() > StoredAnswer::MaxBody) {
                           kept.body.clear();
                           kept.bodyDropped = true;
                       }
                       conclude(key, call, KeyFate::Answered, kept);
                   },
                   [&](const Error &error) {
                       const bool notRun = error.ranOrDefault() == Ran::No;
                       conclude(key, call, notRun ? KeyFate::NotRun : KeyFate::Unknown, {});
                   },
               },
               result);
    for (const auto &waiter : call.waiters) {
        std::visit([&](const auto &told) { answer(waiter, told); }, result);
    }
    // The outcome goes with the next intent, or at the next tick: an append of its own would hold that intent up.
    return takeActions();
}

KeyActions KeyGate::read(LogOffset offset, std::optional<KeyBatch> batch, WallTime now)
{
    const auto copy = batch;
    m_ledger.apply(offset, std::move(batch));
    if (copy && copy->writer == m_self && m_writer.readBack(copy->serial)) {
        settleOwnBatch(*copy);
    }
    if (copy) {
        m_unrecorded.forgetRecorded(*copy, m_ledger);
    }
    drive(now);
    return takeActions();
}

KeyActions KeyGate::recordsLost(LogOffset through)
{
    m_ledger.recordsLost(through);
    for (const auto &record : m_writer.abandon()) {
        settleLost(record);
    }
    return takeActions();
}

KeyActions KeyGate::caughtUp(WallTime now)
{
    m_caughtUp = true;
    drive(now);
    return takeActions();
}

KeyActions KeyGate::appended(std::uint64_t serial, bool ok, WallTime now)
{
    m_writer.appended(serial, ok);
    if (ok && !m_options.safeguards.intentsReadBack) {
        for (const auto &record : m_writer.unconfirmed()) {
            if (const auto *intent = std::get_if<KeyIntent>(&record)) {
                auto *call = m_calls.find(intent->key);
                if (call != nullptr && call->state == CallState::Announced && !call->waiters.empty()) {
                    run(intent->key, *call);
                }
            }
        }
    }
    if (ok) {
        drive(now);
    }
    return takeActions();
}

KeyActions KeyGate::logChanged(bool well, WallTime now)
{
    m_logWell = well;
    drive(now);
    return takeActions();
}

KeyActions KeyGate::placementChanged(KeyPlacement placement, WallTime now)
{
    m_claims.place(std::move(placement));
    drive(now);
    return takeActions();
}

KeyActions KeyGate::message(const GateId &from, const KeyMessage &message, WallTime now)
{
    handle(from, message, now);
    drive(now);
    return takeActions();
}

KeyActions KeyGate::tick(WallTime now)
{
    for (const auto &request : m_claims.requests(m_ledger, now, m_logWell)) {
        send(request.to, request.message, now);
    }
    drive(now);
    return takeActions();
}

const KeyLedger &KeyGate::ledger() const
{
    return m_ledger;
}

bool KeyGate::isHolder() const
{
    return m_claims.announces(m_ledger);
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
 * Whether @p attempt has not been seen. A frame that comes doubled, or so late that later ones overtook it, may belong
 * to a try that was already told "not run"; running it then would make that a lie.
 */
bool KeyGate::isNew(const AttemptId &attempt)
{
    if (!m_options.safeguards.attemptsOnce) {
        return !m_calls.isWaiting(attempt);
    }
    auto &highest = m_seen[attempt.entry];
    if (attempt.number <= highest) {
        return false;
    }
    highest = attempt.number;
    if (m_seen.size() > MaxEntryRuns) {
        m_seen.erase(m_seen.begin()->first == attempt.entry ? std::next(m_seen.begin()) : m_seen.begin());
    }
    return true;
}

/** Answers @p asked from what is known, or admits it. */
void KeyGate::decide(const KeyedCall &asked, WallTime now)
{
    if (const auto *open = m_calls.find(asked.key)) {
        join(*open, asked);
        return;
    }
    const auto entry = m_unrecorded.known(asked.key, m_ledger);
    const bool released = entry && entry->fate == KeyFate::NotRun;
    const bool deadRun = entry && entry->fate == KeyFate::Open && !m_options.safeguards.deadRunsUnknown;
    if (entry && !released && !deadRun) {
        answerKnown(*entry, asked);
    } else if (entry && entry->fingerprint != asked.fingerprint) {
        ++m_counters.mismatches;
        refuse(asked.attempt, ErrorKind::KeyMismatch);
    } else {
        admit(asked, released, now);
    }
}

void KeyGate::join(const OpenCall &call, const KeyedCall &asked)
{
    if (call.fingerprint != asked.fingerprint) {
        ++m_counters.mismatches;
        refuse(asked.attempt, ErrorKind::KeyMismatch);
        return;
    }
    if (call.waiters.size() >= m_options.maxWaiters) {
        refuse(asked.attempt, ErrorKind::KeyRunning);
        return;
    }
    ++m_counters.joined;
    m_calls.join(asked);
}

void KeyGate::answerKnown(const KeyEntry &entry, const KeyedCall &asked)
{
    if (entry.fingerprint != asked.fingerprint) {
        ++m_counters.mismatches;
        refuse(asked.attempt, ErrorKind::KeyMismatch);
        return;
    }
    if (entry.fate != KeyFate::Answered) {
        ++m_counters.unknown;
        refuse(asked.attempt, ErrorKind::KeyOutcomeUnknown);
        return;
    }
    if (entry.answer.bodyDropped) {
        ++m_counters.unknown;
        refuse(asked.attempt, ErrorKind::KeyOutcomeUnknown, Ran::Yes);
        return;
    }
    ++m_counters.repeatsAnswered;
    answer(asked.attempt, entry.answer);
}

/** Why a key created at @p time can't be taken at @p now, if so. */
std::optional<ErrorKind> KeyGate::datingFault(WallTime time, WallTime now)
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

/** Decides on a key that has not run as far as is known here; @p released when it is known not to have run. */
void KeyGate::admit(const KeyedCall &asked, bool released, WallTime now)
{
    const auto time = asked.key.time();
    const bool holder = m_claims.announces(m_ledger);
    const auto &placement = m_claims.placement();
    if (const auto fault = datingFault(time, now)) {
        refuse(asked.attempt, *fault);
        return;
    }
    if (!placement.accepting) {
        redirect(asked.attempt);
        return;
    }
    if (m_calls.size() >= m_options.maxCalls) {
        ++m_counters.full;
        refuse(asked.attempt, ErrorKind::QueueFull, Ran::Unknown);
    } else if (m_logWell && holder && !released && !m_ledger.canDecide(time)) {
        ++m_counters.unknown;
        refuse(asked.attempt, ErrorKind::KeyOutcomeUnknown);
    } else if (m_logWell && holder) {
        announce(asked);
    } else if (m_claims.mayRunWithoutLog(m_ledger, time)) {
        startWithoutLog(asked);
    } else if (holder || placement.wanted) {
        // The witnesses' promises, or the take-over, may be there in a moment.
        m_calls.park(asked, now);
    } else {
        redirect(asked.attempt);
    }
}

/** Decides again on the tries that wait for this gate to be able to; those that have waited too long are refused. */
void KeyGate::decideParked(WallTime now)
{
    const bool holder = m_claims.announces(m_ledger);
    for (const auto &parked : m_calls.takeParked()) {
        if (now - parked.since <= m_options.parkTime) {
            decide(parked.call, now);
            continue;
        }
        if (holder) {
            // The shard may have a new holder by now that this process, cut off from the log, has not heard of.
            ++m_counters.notDecidable;
            refuse(parked.call.attempt, ErrorKind::KeyNotDecidable, Ran::Unknown);
        } else {
            redirect(parked.call.attempt);
        }
    }
}

void KeyGate::announce(const KeyedCall &asked)
{
    m_calls.open(asked);
    m_writer.add(KeyIntent{.key = asked.key, .fingerprint = asked.fingerprint, .runner = m_self});
}

void KeyGate::startWithoutLog(const KeyedCall &asked)
{
    ++m_counters.runWithoutLog;
    announce(asked);
    run(asked.key, *m_calls.find(asked.key));
}

void KeyGate::run(const Uuid7 &key, OpenCall &call)
{
    assert(!call.waiters.empty());
    call.state = CallState::Running;
    m_unrecorded.forget(key);
    ++m_counters.run;
    m_actions.push_back(RunCall{.key = key, .attempt = call.waiters.front()});
}

/** An intent of this process has been read back: it counts if it is the first of its key, by the holder. */
void KeyGate::settleIntent(const KeyIntent &intent)
{
    auto *call = m_calls.find(intent.key);
    if (call == nullptr || call->state != CallState::Announced) {
        return;
    }
    const auto *entry = m_ledger.find(intent.key);
    const bool counts = entry != nullptr && entry->fate == KeyFate::Open && entry->runner == m_self;
    if (counts && !call->waiters.empty()) {
        run(intent.key, *call);
    } else if (counts) {
        conclude(intent.key, m_calls.close(intent.key), KeyFate::NotRun, {});
    } else {
        answerElsewhere(intent.key, entry == nullptr ? std::nullopt : std::optional(*entry));
    }
}

/** Ends an announced call that this process may not run, with what is known of its key. */
void KeyGate::answerElsewhere(const Uuid7 &key, const std::optional<KeyEntry> &entry)
{
    const auto call = m_calls.close(key);
    for (const auto &waiter : call.waiters) {
        if (entry && entry->fate != KeyFate::NotRun) {
            answerKnown(*entry, {.attempt = waiter, .key = key, .fingerprint = call.fingerprint});
        } else {
            redirect(waiter);
        }
    }
}

/**
 * A record of this process may have landed among those that expired unread. Appending it again under its number is no
 * way out: readers who saw it skip the second, while this process would take it for the first.
 */
void KeyGate::settleLost(const KeyRecord &record)
{
    std::visit(Visitor{
                   [this](const KeyIntent &intent) {
                       const auto *call = m_calls.find(intent.key);
                       if (call != nullptr && call->state == CallState::Announced) {
                           answerElsewhere(intent.key,
                                           KeyEntry{.fingerprint = call->fingerprint, .fate = KeyFate::Unknown});
                       }
                   },
                   [this](const KeyOutcome &outcome) {
                       if (outcome.fate != KeyFate::NotRun) {
                           m_writer.add(outcome);
                       }
                   },
                   [this](const KeyClaim &) { m_claims.claimFolded(); },
               },
               record);
}

void KeyGate::settleOwnBatch(const KeyBatch &batch)
{
    for (const auto &record : batch.records) {
        std::visit(Visitor{
                       [this](const KeyIntent &intent) { settleIntent(intent); },
                       [](const KeyOutcome &) {},
                       [this](const KeyClaim &) { m_claims.claimFolded(); },
                   },
                   record);
    }
}

/** Calls that wait for their intent to be read back may run at once when the right to do without the log is there. */
void KeyGate::runAnnouncedWithoutLog()
{
    if (m_logWell) {
        return;
    }
    for (auto &[key, call] : m_calls.calls()) {
        const bool waits = call.state == CallState::Announced && !call.waiters.empty();
        if (waits && m_claims.mayRunWithoutLog(m_ledger, key.time())) {
            // The intent on its way was written before the right was there, and may be void.
            m_writer.add(KeyIntent{.key = key, .fingerprint = call.fingerprint, .runner = m_self});
            ++m_counters.runWithoutLog;
            run(key, call);
        }
    }
}

/** Answers the calls that wait for their intent though another process has run them, as a hand-over has shown. */
void KeyGate::settleInherited()
{
    std::vector<Uuid7> runElsewhere;
    for (const auto &[key, call] : m_calls.calls()) {
        const auto entry = m_unrecorded.known(key, m_ledger);
        const bool ours = entry && entry->runner == m_self && entry->fate == KeyFate::Open;
        if (call.state == CallState::Announced && entry && !ours && entry->fate != KeyFate::NotRun) {
            runElsewhere.push_back(key);
        }
    }
    for (const auto &key : runElsewhere) {
        answerElsewhere(key, m_unrecorded.known(key, m_ledger));
    }
}

void KeyGate::conclude(const Uuid7 &key, const OpenCall &call, KeyFate fate, const StoredAnswer &answer)
{
    const KeyOutcome outcome{
        .key = key, .fingerprint = call.fingerprint, .runner = m_self, .fate = fate, .answer = answer};
    m_unrecorded.note(outcome);
    m_writer.add(outcome);
}

void KeyGate::answer(const AttemptId &attempt, KeyReply reply)
{
    m_actions.push_back(AnswerCall{.attempt = attempt, .reply = std::move(reply)});
}

void KeyGate::refuse(const AttemptId &attempt, ErrorKind kind, std::optional<Ran> ran)
{
    answer(attempt, Error{.kind = kind, .ran = ran});
}

void KeyGate::redirect(const AttemptId &attempt)
{
    ++m_counters.redirected;
    const auto &claim = m_ledger.claim();
    const auto released = m_claims.releasedTo(m_ledger);
    ProcessName holder = m_claims.placement().preferred;
    if (released) {
        holder = released->process;
    } else if (claim && claim->claim.id.holder.process != m_self.process) {
        holder = claim->claim.id.holder.process;
    }
    answer(attempt, KeyRedirect{.holder = holder == m_self.process ? ProcessName{} : holder});
}

void KeyGate::send(const GateId &to, const KeyMessage &message, WallTime now)
{
    if (to == m_self) {
        handle(m_self, message, now);
        return;
    }
    m_actions.push_back(SendToGate{.to = to, .message = message});
}

void KeyGate::handle(const GateId &from, const KeyMessage &message, WallTime now)
{
    std::visit(Visitor{
                   [&](const ActivateRequest &request) {
                       if (const auto reply = m_witness.activate(request, now)) {
                           send(from, *reply, now);
                       }
                   },
                   [&](const RevokeRequest &request) {
                       if (const auto reply = m_witness.revoke(request, now)) {
                           send(from, *reply, now);
                       }
                   },
                   [&](const ActivateReply &reply) { m_claims.take(from, reply); },
                   [&](const RevokeReply &reply) { m_claims.take(from, reply, m_ledger); },
                   [&](const ReleaseRequest &request) { handOver(from, request); },
                   [&](const ReleaseReply &reply) { inherit(reply); },
                   [](const GatePresence &) {},
               },
               message);
}

/** Hands the shard over, or sends an earlier hand-over again whose message may have been lost. */
void KeyGate::handOver(const GateId &to, const ReleaseRequest &request)
{
    if (m_handOver && m_handOver->first == to && m_handOver->second.claim.claim.id == request.claim) {
        m_actions.push_back(SendToGate{.to = to, .message = m_handOver->second});
        return;
    }
    if (!m_claims.mayRelease(to, request, m_ledger)) {
        return;
    }
    auto knownRecords = request.withRight ? m_unrecorded.snapshot(m_ledger) : std::vector<KeyRecord>{};
    const auto unconfirmed = m_writer.unconfirmed();
    if (knownRecords.size() > MaxHandOverRecords || unconfirmed.size() > MaxHandOverRecords) {
        return;
    }
    auto reply = m_claims.release(to, request, m_ledger);
    if (m_options.safeguards.releaseCarriesRuns) {
        reply.known = std::move(knownRecords);
        std::copy_if(unconfirmed.begin(), unconfirmed.end(), std::back_inserter(reply.unrecorded),
                     [](const KeyRecord &record) { return !std::holds_alternative<KeyClaim>(record); });
    }
    ++m_counters.handedOver;
    m_handOver = std::pair(to, reply);
    m_actions.push_back(SendToGate{.to = to, .message = std::move(reply)});
}

void KeyGate::inherit(const ReleaseReply &reply)
{
    if (!m_claims.inherit(reply)) {
        return;
    }
    ++m_counters.inherited;
    for (const auto &record : reply.known) {
        m_unrecorded.note(record);
    }
    for (const auto &record : reply.unrecorded) {
        m_unrecorded.note(record);
        m_writer.add(record);
    }
    settleInherited();
}

/** Does what has become possible by the last event. */
void KeyGate::drive(WallTime now)
{
    runAnnouncedWithoutLog();
    decideParked(now);
    if (m_logWell && m_caughtUp) {
        if (const auto claim = m_claims.nextClaim(m_ledger, now)) {
            m_writer.add(*claim);
        }
    }
    flush();
}

void KeyGate::flush()
{
    if (!m_logWell) {
        return;
    }
    if (auto batch = m_writer.next(m_ledger.view(), m_claims.onBehalfOf(m_ledger))) {
        m_actions.push_back(AppendBatch{.batch = std::move(*batch)});
    }
}

KeyActions KeyGate::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace Heatherridge
