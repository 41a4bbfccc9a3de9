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
    if (!isNew(call.attempt)) {
        ++m_counters.late;
        return takeActions();
    }
    const auto open = m_calls.find(call.key);
    if (open != m_calls.end()) {
        join(open->second, call);
        return takeActions();
    }
    const auto entry = known(call.key);
    const bool released = entry && entry->fate == KeyFate::NotRun;
    const bool deadRun = entry && entry->fate == KeyFate::Open && !m_options.safeguards.deadRunsUnknown;
    if (entry && !released && !deadRun) {
        answerKnown(*entry, call);
        return takeActions();
    }
    if (entry && entry->fingerprint != call.fingerprint) {
        ++m_counters.mismatches;
        refuse(call.attempt, ErrorKind::KeyMismatch);
        return takeActions();
    }
    admit(call, released, now);
    flush();
    return takeActions();
}

KeyActions KeyGate::cancel(const AttemptId &attempt)
{
    const auto waiting = m_waiting.find(attempt);
    if (waiting == m_waiting.end()) {
        return takeActions();
    }
    const auto call = m_calls.find(waiting->second);
    assert(call != m_calls.end());
    std::erase(call->second.waiters, attempt);
    m_waiting.erase(waiting);
    // Another holder may have run an earlier try of the key before the intent of this one gets to the log: that this
    // try never ran is no proof that the key did not.
    const bool notSent = call->second.state == CallState::Announced && call->second.waiters.empty();
    refuse(attempt, notSent ? ErrorKind::KeyNotDecidable : ErrorKind::KeyRunning, Ran::Unknown);
    return takeActions();
}

KeyActions KeyGate::served(const Uuid7 &key, Result<StoredAnswer> result)
{
    const auto found = m_calls.find(key);
    assert(found != m_calls.end() && found->second.state == CallState::Running);
    const auto call = std::move(found->second);
    m_calls.erase(found);
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
        m_waiting.erase(waiter);
        std::visit([&](const auto &told) { answer(waiter, told); }, result);
    }
    flush();
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
        forgetRecorded(*copy);
    }
    drive(now);
    return takeActions();
}

void KeyGate::recordsLost(LogOffset through)
{
    m_ledger.recordsLost(through);
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
                const auto call = m_calls.find(intent->key);
                if (call != m_calls.end() && call->second.state == CallState::Announced
                    && !call->second.waiters.empty()) {
                    run(intent->key, call->second);
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
        return !m_waiting.contains(attempt);
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

/** What is known of @p key, from memory where the ledger doesn't know the end yet. */
std::optional<KeyEntry> KeyGate::known(const Uuid7 &key) const
{
    const auto *recorded = m_ledger.find(key);
    const auto unrecorded = m_unrecorded.find(key);
    if (unrecorded == m_unrecorded.end()) {
        return recorded == nullptr ? std::nullopt : std::optional(*recorded);
    }
    const bool recordedKnowsMore =
        recorded != nullptr && unrecorded->second.fate == KeyFate::Open && recorded->fate != KeyFate::NotRun;
    return recordedKnowsMore ? *recorded : unrecorded->second;
}

void KeyGate::join(Call &call, const KeyedCall &asked)
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
    call.waiters.push_back(asked.attempt);
    m_waiting[asked.attempt] = asked.key;
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

/** Decides on a key that has not run as far as is known here; @p released when it is known not to have run. */
void KeyGate::admit(const KeyedCall &asked, bool released, WallTime now)
{
    const auto time = asked.key.time();
    if (time > now + m_options.claims.tolerance) {
        ++m_counters.fromTheFuture;
        refuse(asked.attempt, ErrorKind::BadIdempotencyKey);
        return;
    }
    if (time < now - m_options.window) {
        ++m_counters.expired;
        refuse(asked.attempt, ErrorKind::KeyExpired);
        return;
    }
    if (!m_claims.placement().accepting) {
        redirect(asked.attempt);
        return;
    }
    if (m_calls.size() >= m_options.maxCalls) {
        ++m_counters.full;
        refuse(asked.attempt, ErrorKind::QueueFull, Ran::Unknown);
        return;
    }
    const bool holder = m_claims.announces(m_ledger);
    if (m_logWell && holder) {
        if (!released && !m_ledger.canDecide(time)) {
            ++m_counters.unknown;
            refuse(asked.attempt, ErrorKind::KeyOutcomeUnknown);
            return;
        }
        announce(asked);
    } else if (m_claims.mayRunWithoutLog(m_ledger, time)) {
        startWithoutLog(asked);
    } else if (holder) {
        // The shard may have a new holder by now that this process, cut off from the log, has not heard of.
        ++m_counters.notDecidable;
        refuse(asked.attempt, ErrorKind::KeyNotDecidable, Ran::Unknown);
    } else {
        redirect(asked.attempt);
    }
}

void KeyGate::announce(const KeyedCall &asked)
{
    m_calls[asked.key] = Call{.fingerprint = asked.fingerprint, .waiters = {asked.attempt}};
    m_waiting[asked.attempt] = asked.key;
    m_writer.add(KeyIntent{.key = asked.key, .fingerprint = asked.fingerprint, .runner = m_self});
}

void KeyGate::startWithoutLog(const KeyedCall &asked)
{
    ++m_counters.runWithoutLog;
    announce(asked);
    run(asked.key, m_calls.at(asked.key));
}

void KeyGate::run(const Uuid7 &key, Call &call)
{
    assert(!call.waiters.empty());
    call.state = CallState::Running;
    m_unrecorded.erase(key);
    ++m_counters.run;
    m_actions.push_back(RunCall{.key = key, .attempt = call.waiters.front()});
}

/** An intent of this process has been read back: it counts if it is the first of its key, by the holder. */
void KeyGate::settleIntent(const KeyIntent &intent)
{
    const auto found = m_calls.find(intent.key);
    if (found == m_calls.end() || found->second.state != CallState::Announced) {
        return;
    }
    const auto *entry = m_ledger.find(intent.key);
    const bool counts = entry != nullptr && entry->fate == KeyFate::Open && entry->runner == m_self;
    if (counts && !found->second.waiters.empty()) {
        run(intent.key, found->second);
        return;
    }
    const auto call = std::move(found->second);
    m_calls.erase(found);
    if (counts) {
        conclude(intent.key, call, KeyFate::NotRun, {});
        return;
    }
    for (const auto &waiter : call.waiters) {
        m_waiting.erase(waiter);
        if (entry != nullptr && entry->fate != KeyFate::NotRun) {
            answerKnown(*entry, {.attempt = waiter, .key = intent.key, .fingerprint = call.fingerprint});
        } else {
            redirect(waiter);
        }
    }
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

/** What the ledger knows by now needs no memory of its own. */
void KeyGate::forgetRecorded(const KeyBatch &batch)
{
    for (const auto &record : batch.records) {
        const auto *outcome = std::get_if<KeyOutcome>(&record);
        if (outcome == nullptr) {
            continue;
        }
        const auto unrecorded = m_unrecorded.find(outcome->key);
        const auto *recorded = m_ledger.find(outcome->key);
        // Of two runs the first of which was released, the ledger may know the first end only.
        if (unrecorded != m_unrecorded.end() && recorded != nullptr && unrecorded->second.fate == recorded->fate) {
            m_unrecorded.erase(unrecorded);
        }
    }
}

/** Calls that wait for their intent to be read back may run at once when the right to do without the log is there. */
void KeyGate::runAnnouncedWithoutLog()
{
    if (m_logWell) {
        return;
    }
    for (auto &[key, call] : m_calls) {
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
    for (auto next = m_calls.begin(); next != m_calls.end();) {
        const auto call = next++;
        const auto entry = known(call->first);
        const bool ours = entry && entry->runner == m_self && entry->fate == KeyFate::Open;
        if (call->second.state != CallState::Announced || !entry || ours || entry->fate == KeyFate::NotRun) {
            continue;
        }
        const auto waiters = std::move(call->second.waiters);
        const auto fingerprint = call->second.fingerprint;
        const auto key = call->first;
        m_calls.erase(call);
        for (const auto &waiter : waiters) {
            m_waiting.erase(waiter);
            answerKnown(*entry, {.attempt = waiter, .key = key, .fingerprint = fingerprint});
        }
    }
}

void KeyGate::conclude(const Uuid7 &key, const Call &call, KeyFate fate, const StoredAnswer &answer)
{
    m_unrecorded[key] = KeyEntry{.fingerprint = call.fingerprint, .runner = m_self, .fate = fate, .answer = answer};
    m_writer.add(
        KeyOutcome{.key = key, .fingerprint = call.fingerprint, .runner = m_self, .fate = fate, .answer = answer});
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
    std::vector<KeyRecord> knownRecords;
    const auto addEntry = [&knownRecords](const Uuid7 &key, const KeyEntry &entry) {
        if (entry.fate == KeyFate::Open) {
            knownRecords.emplace_back(KeyIntent{.key = key, .fingerprint = entry.fingerprint, .runner = entry.runner});
            return;
        }
        knownRecords.emplace_back(KeyOutcome{.key = key,
                                             .fingerprint = entry.fingerprint,
                                             .runner = entry.runner,
                                             .fate = entry.fate,
                                             .answer = entry.answer});
    };
    if (request.withRight) {
        for (const auto &[key, entry] : m_ledger.entries()) {
            addEntry(key, entry);
        }
        for (const auto &[key, entry] : m_unrecorded) {
            addEntry(key, entry);
        }
    }
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
        keepInherited(record);
    }
    for (const auto &record : reply.unrecorded) {
        keepInherited(record);
        m_writer.add(record);
    }
    settleInherited();
}

void KeyGate::keepInherited(const KeyRecord &record)
{
    if (const auto *intent = std::get_if<KeyIntent>(&record)) {
        m_unrecorded[intent->key] = KeyEntry{.fingerprint = intent->fingerprint, .runner = intent->runner};
    }
    if (const auto *outcome = std::get_if<KeyOutcome>(&record)) {
        m_unrecorded[outcome->key] = KeyEntry{.fingerprint = outcome->fingerprint,
                                              .runner = outcome->runner,
                                              .fate = outcome->fate,
                                              .answer = outcome->answer};
    }
}

/** Does what has become possible by the last event. */
void KeyGate::drive(WallTime now)
{
    runAnnouncedWithoutLog();
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
