#include "heatherridge_state/keys/keyledger.h"

#include "heatherridge_state/base/result.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Batches held back while the ledger is incomplete. Above this, all of them are treated as lost. */
constexpr std::size_t MaxPendingBatches = 4096;
/** Writers whose last batch serial is kept. The duplicate of a batch arrives within seconds of the original. */
constexpr std::size_t MaxWriters = 1024;
/** Eviction frees 1/EvictionDivisor of the limit beyond the excess, so that it frees many entries at once. */
constexpr std::size_t EvictionDivisor = 16;

} // namespace

KeyLedger::KeyLedger(Options options)
    : m_options(options)
{
}

void KeyLedger::apply(LogOffset offset, std::optional<KeyBatch> batch)
{
    assert(offset > m_appliedOffset);
    m_appliedOffset = offset;
    if (!batch) {
        ++m_counters.damaged;
        return;
    }
    if (isComplete()) {
        applyBatch(offset, *batch);
        return;
    }
    const bool isCovered = batch->view.covers >= *m_lostThrough;
    const auto *claim = batch->records.empty() ? nullptr : std::get_if<KeyClaim>(&batch->records.back());
    const bool restartsStream = claim != nullptr && claim->afterLoss && next(claim->basedOn) == offset;
    if (isCovered && !restartsStream) {
        resumeAfterLoss(batch->view);
        applyBatch(offset, *batch);
        return;
    }
    if (restartsStream) {
        resumeAfterLoss({.covers = claim->basedOn, .claim = {}, .floor = claim->floor, .newestKeyTime = {}});
        applyBatch(offset, *batch);
        return;
    }
    m_pending.push_back({.offset = offset, .batch = std::move(*batch)});
    if (m_pending.size() > MaxPendingBatches) {
        m_pending.clear();
        m_lostThrough = offset;
    }
}

void KeyLedger::recordsExpired(LogOffset through)
{
    if (through <= m_appliedOffset) {
        return;
    }
    m_appliedOffset = through;
    m_lostThrough = through;
    m_pending.clear();
}

bool KeyLedger::isComplete() const
{
    return !m_lostThrough;
}

LogOffset KeyLedger::appliedOffset() const
{
    return m_appliedOffset;
}

const std::optional<LoggedClaim> &KeyLedger::claim() const
{
    return m_claim;
}

bool KeyLedger::isHolder(const GateId &gate) const
{
    return isComplete() && m_claim && m_claim->claim.id.holder == gate;
}

const KeyEntry *KeyLedger::find(const Uuid7 &key) const
{
    const auto entry = m_entries.find(key);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

bool KeyLedger::canDecide(WallTime time) const
{
    return isComplete() && time >= m_floor;
}

WallTime KeyLedger::floor() const
{
    return m_floor;
}

WallTime KeyLedger::latestPendingClaimEnd() const
{
    WallTime until{};
    for (const auto &[offset, batch] : m_pending) {
        for (const auto &record : batch.records) {
            const auto *claim = std::get_if<KeyClaim>(&record);
            until = std::max(until, claim == nullptr ? WallTime{} : claim->until);
        }
    }
    return until;
}

LedgerView KeyLedger::view() const
{
    if (!isComplete()) {
        return {};
    }
    return {.covers = m_appliedOffset, .claim = m_claim, .floor = m_floor, .newestKeyTime = m_newestKeyTime};
}

const std::map<Uuid7, KeyEntry> &KeyLedger::entries() const
{
    return m_entries;
}

const LedgerCounters &KeyLedger::counters() const
{
    return m_counters;
}

void KeyLedger::applyBatch(LogOffset offset, const KeyBatch &batch)
{
    if (isDuplicate(batch)) {
        ++m_counters.duplicates;
        return;
    }
    for (const auto &record : batch.records) {
        std::visit(Visitor{
                       [&](const KeyIntent &intent) { applyIntent(batch, intent); },
                       [&](const KeyOutcome &outcome) { applyOutcome(batch, outcome); },
                       [&](const KeyClaim &claim) { applyClaim(offset, batch, claim); },
                   },
                   record);
    }
    evictOldEntries();
    dropOldAnswerBodies();
}

void KeyLedger::applyClaim(LogOffset offset, const KeyBatch &batch, const KeyClaim &claim)
{
    const auto current = m_claim ? m_claim->offset : LogOffset{};
    const bool isSuccessor = claim.afterLoss ? next(claim.basedOn) == offset : claim.basedOn == current;
    if ((!isSuccessor && m_options.safeguards.claimsCompareOffset) || claim.id.holder != batch.writer) {
        ++m_counters.staleClaims;
        return;
    }
    m_claim = LoggedClaim{.offset = offset, .claim = claim};
    m_floor = std::max(m_floor, claim.floor);
}

void KeyLedger::applyIntent(const KeyBatch &batch, const KeyIntent &intent)
{
    if (!isAuthorizedWriter(batch)) {
        ++m_counters.notFromHolder;
        return;
    }
    const auto found = m_entries.find(intent.key);
    const bool isTaken = found != m_entries.end() && found->second.runState != RunState::NotRun;
    const bool isForgotten = found == m_entries.end() && intent.key.time() < m_floor;
    if (isForgotten || isTaken) {
        ++m_counters.refusedIntents;
        return;
    }
    m_entries[intent.key] = KeyEntry{.fingerprint = intent.fingerprint, .runner = intent.runner};
    updateNewestKeyTime(intent.key);
}

void KeyLedger::applyOutcome(const KeyBatch &batch, const KeyOutcome &outcome)
{
    if (closeOpenEntry(batch, outcome)) {
        return;
    }
    // A run made while the log was unavailable has no intent before its outcome; only the holder may make such runs. A
    // key below the floor can no longer be run, so its answer is accepted from any gate that still has it.
    const auto found = m_entries.find(outcome.key);
    const bool isNewRun = found == m_entries.end() || found->second.runState == RunState::NotRun;
    const bool isLate = outcome.key.time() < m_floor && outcome.runState == RunState::Answered;
    if (!isNewRun || (!isAuthorizedWriter(batch) && !isLate)) {
        ++m_counters.notFromHolder;
        return;
    }
    auto &entry = m_entries[outcome.key];
    entry = KeyEntry{.fingerprint = outcome.fingerprint, .runner = outcome.runner, .runState = outcome.runState};
    setAnswer(entry, outcome);
    updateNewestKeyTime(outcome.key);
}

/** Returns whether the writer of @p batch holds the shard, or got it from the holder by hand-over. */
bool KeyLedger::isAuthorizedWriter(const KeyBatch &batch) const
{
    const bool isHandedOver = m_claim && batch.onBehalfOf && *batch.onBehalfOf == m_claim->claim.id;
    return isHolder(batch.writer) || isHandedOver || !m_options.safeguards.onlyHolderAnnounces;
}

/** Closes the open entry for the key of @p outcome. Returns false if there is none that this outcome may close. */
bool KeyLedger::closeOpenEntry(const KeyBatch &batch, const KeyOutcome &outcome)
{
    const auto found = m_entries.find(outcome.key);
    if (found == m_entries.end() || found->second.runner != outcome.runner) {
        return false;
    }
    const bool learnsMore = found->second.runState == RunState::Unknown && outcome.runState == RunState::Answered;
    if (found->second.runState != RunState::Open && !learnsMore) {
        return false;
    }
    if (batch.writer != outcome.runner && !isAuthorizedWriter(batch)) {
        return false;
    }
    found->second.runState = outcome.runState;
    setAnswer(found->second, outcome);
    return true;
}

void KeyLedger::resumeAfterLoss(const LedgerView &view)
{
    m_lostThrough.reset();
    m_claim = view.claim;
    // The records that expired unread concern keys created no later than `newestKeyTime`. These keys can't be
    // distinguished from keys that were never used, so none of them may be run.
    const auto lowestDecidable =
        view.newestKeyTime == WallTime{} ? WallTime{} : view.newestKeyTime + std::chrono::milliseconds(1);
    m_floor = std::max({m_floor, view.floor, lowestDecidable});
    m_newestKeyTime = std::max(m_newestKeyTime, view.newestKeyTime);
    const auto pending = std::exchange(m_pending, {});
    for (const auto &[offset, batch] : pending) {
        if (offset <= view.covers) {
            addUnverified(batch);
        } else {
            applyBatch(offset, batch);
        }
    }
}

/**
 * Adds the keys of @p batch although it can't be checked whether its writer held the shard. An entry too many is safe:
 * it only causes its key to be refused.
 */
void KeyLedger::addUnverified(const KeyBatch &batch)
{
    for (const auto &record : batch.records) {
        if (const auto *intent = std::get_if<KeyIntent>(&record)) {
            m_entries.try_emplace(intent->key, KeyEntry{.fingerprint = intent->fingerprint, .runner = intent->runner});
        }
        if (const auto *outcome = std::get_if<KeyOutcome>(&record)) {
            auto &entry =
                m_entries
                    .try_emplace(outcome->key, KeyEntry{.fingerprint = outcome->fingerprint, .runner = outcome->runner})
                    .first->second;
            const bool matches = entry.runState == RunState::Open && entry.runner == outcome->runner;
            entry.runState =
                matches && outcome->runState == RunState::Answered ? RunState::Answered : RunState::Unknown;
            if (entry.runState == RunState::Answered) {
                setAnswer(entry, *outcome);
            }
        }
    }
}

void KeyLedger::setAnswer(KeyEntry &entry, const KeyOutcome &outcome)
{
    if (outcome.runState != RunState::Answered) {
        return;
    }
    entry.answer = outcome.answer;
    m_answerBytes += entry.answer.body.size();
}

void KeyLedger::updateNewestKeyTime(const Uuid7 &key)
{
    m_newestKeyTime = std::max(m_newestKeyTime, key.time());
}

void KeyLedger::evictOldEntries()
{
    auto evictBefore = m_newestKeyTime - m_options.window;
    if (m_entries.size() > m_options.maxEntries) {
        const auto excess = m_entries.size() - m_options.maxEntries + m_options.maxEntries / EvictionDivisor;
        const auto oldestKept = std::next(m_entries.begin(), static_cast<std::ptrdiff_t>(excess));
        evictBefore = std::max(evictBefore, oldestKept->first.time());
    }
    // The floor is raised before entries are evicted: an evicted key stays below it and is never run again.
    m_floor = std::max(m_floor, evictBefore);
    while (!m_entries.empty() && m_entries.begin()->first.time() < evictBefore) {
        m_answerBytes -= m_entries.begin()->second.answer.body.size();
        m_entries.erase(m_entries.begin());
    }
}

void KeyLedger::dropOldAnswerBodies()
{
    if (m_answerBytes <= m_options.maxAnswerBytes) {
        return;
    }
    const auto targetBytes = m_options.maxAnswerBytes - m_options.maxAnswerBytes / EvictionDivisor;
    for (auto &[key, entry] : m_entries) {
        if (m_answerBytes <= targetBytes) {
            return;
        }
        if (entry.answer.body.empty()) {
            continue;
        }
        m_answerBytes -= entry.answer.body.size();
        entry.answer.body.clear();
        entry.answer.bodyDropped = true;
        ++m_counters.answersDropped;
    }
}

/**
 * Returns whether @p batch has been applied before, and records its serial. An append whose reply was lost is repeated
 * and may be logged twice, the second time after its key was released and announced again. Applying the batch twice
 * would release a key that is running.
 */
bool KeyLedger::isDuplicate(const KeyBatch &batch)
{
    if (!m_options.safeguards.duplicateBatchesSkipped) {
        return false;
    }
    auto &lastSerial = m_lastSerials[batch.writer];
    if (batch.serial <= lastSerial) {
        return true;
    }
    lastSerial = batch.serial;
    if (m_lastSerials.size() > MaxWriters) {
        m_lastSerials.erase(m_lastSerials.begin()->first == batch.writer ? std::next(m_lastSerials.begin())
                                                                         : m_lastSerials.begin());
    }
    return false;
}

} // namespace Heatherridge
