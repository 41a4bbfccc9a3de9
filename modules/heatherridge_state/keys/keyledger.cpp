#include "heatherridge_state/keys/keyledger.h"

#include "heatherridge_state/base/result.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Batches kept while the ledger is not whole; older ones are given up as lost. */
constexpr std::size_t MaxPending = 4096;
/** Writers whose last batch number is kept. A batch that comes doubled does so within seconds. */
constexpr std::size_t MaxWriters = 1024;
/** Share of the entries that is forgotten in one go when there are too many. */
constexpr std::size_t ForgetDivisor = 16;

} // namespace

KeyLedger::KeyLedger(Options options)
    : m_options(options)
{
}

void KeyLedger::apply(LogOffset offset, std::optional<KeyBatch> batch)
{
    assert(offset > m_folded);
    m_folded = offset;
    if (!batch) {
        ++m_counters.damaged;
        return;
    }
    if (isWhole()) {
        applyWhole(offset, *batch);
        return;
    }
    const bool covered = batch->view.covers >= *m_lostThrough;
    const auto *claim = batch->records.empty() ? nullptr : std::get_if<KeyClaim>(&batch->records.back());
    const bool restarts = claim != nullptr && claim->afterLoss && next(claim->basedOn) == offset;
    if (covered && !restarts) {
        resumeAfterLoss(batch->view);
        applyWhole(offset, *batch);
        return;
    }
    if (restarts) {
        resumeAfterLoss({.covers = claim->basedOn, .claim = {}, .floor = claim->floor, .newest = {}});
        applyWhole(offset, *batch);
        return;
    }
    m_pending.push_back({.offset = offset, .batch = std::move(*batch)});
    if (m_pending.size() > MaxPending) {
        m_pending.clear();
        m_lostThrough = offset;
    }
}

void KeyLedger::recordsLost(LogOffset through)
{
    if (through <= m_folded) {
        return;
    }
    m_folded = through;
    m_lostThrough = through;
    m_pending.clear();
}

bool KeyLedger::isWhole() const
{
    return !m_lostThrough;
}

LogOffset KeyLedger::folded() const
{
    return m_folded;
}

const std::optional<PlacedClaim> &KeyLedger::claim() const
{
    return m_claim;
}

bool KeyLedger::isHolder(const GateId &gate) const
{
    return isWhole() && m_claim && m_claim->claim.id.holder == gate;
}

const KeyEntry *KeyLedger::find(const Uuid7 &key) const
{
    const auto entry = m_entries.find(key);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

bool KeyLedger::canDecide(WallTime time) const
{
    return isWhole() && time >= m_floor;
}

WallTime KeyLedger::floor() const
{
    return m_floor;
}

WallTime KeyLedger::pendingUntil() const
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
    if (!isWhole()) {
        return {};
    }
    return {.covers = m_folded, .claim = m_claim, .floor = m_floor, .newest = m_newest};
}

const std::map<Uuid7, KeyEntry> &KeyLedger::entries() const
{
    return m_entries;
}

const LedgerCounters &KeyLedger::counters() const
{
    return m_counters;
}

void KeyLedger::applyWhole(LogOffset offset, const KeyBatch &batch)
{
    if (isDoubled(batch)) {
        ++m_counters.doubled;
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
    forgetOld();
    dropAnswers();
}

void KeyLedger::applyClaim(LogOffset offset, const KeyBatch &batch, const KeyClaim &claim)
{
    const auto current = m_claim ? m_claim->offset : LogOffset{};
    const bool follows = claim.afterLoss ? next(claim.basedOn) == offset : claim.basedOn == current;
    if ((!follows && m_options.safeguards.claimsCompareOffset) || claim.id.holder != batch.writer) {
        ++m_counters.staleClaims;
        return;
    }
    m_claim = PlacedClaim{.offset = offset, .claim = claim};
    m_floor = std::max(m_floor, claim.floor);
}

void KeyLedger::applyIntent(const KeyBatch &batch, const KeyIntent &intent)
{
    if (!mayAnnounce(batch)) {
        ++m_counters.notHolder;
        return;
    }
    const auto known = m_entries.find(intent.key);
    const bool taken = known != m_entries.end() && known->second.fate != KeyFate::NotRun;
    const bool forgotten = known == m_entries.end() && intent.key.time() < m_floor;
    if (forgotten || taken) {
        ++m_counters.refusedIntents;
        return;
    }
    m_entries[intent.key] = KeyEntry{.fingerprint = intent.fingerprint, .runner = intent.runner};
    noteTime(intent.key);
}

void KeyLedger::applyOutcome(const KeyBatch &batch, const KeyOutcome &outcome)
{
    if (closeEntry(batch, outcome)) {
        return;
    }
    // A run made while the log was out has no intent before its outcome; only the holder may make such runs. Of a key
    // below the floor that nobody can run any more, the outcome is taken from whoever still knows it.
    const auto known = m_entries.find(outcome.key);
    const bool fresh = known == m_entries.end() || known->second.fate == KeyFate::NotRun;
    const bool late = outcome.key.time() < m_floor && outcome.fate == KeyFate::Answered;
    if (!fresh || (!mayAnnounce(batch) && !late)) {
        ++m_counters.notHolder;
        return;
    }
    auto &entry = m_entries[outcome.key];
    entry = KeyEntry{.fingerprint = outcome.fingerprint, .runner = outcome.runner, .fate = outcome.fate};
    setAnswer(entry, outcome);
    noteTime(outcome.key);
}

/** Whether the writer of @p batch holds the shard, or has it from the holder by hand-over. */
bool KeyLedger::mayAnnounce(const KeyBatch &batch) const
{
    const bool handedOver = m_claim && batch.onBehalfOf && *batch.onBehalfOf == m_claim->claim.id;
    return isHolder(batch.writer) || handedOver || !m_options.safeguards.onlyHolderAnnounces;
}

/** Ends the open entry of @p outcome's key. False when there is none that this outcome may end. */
bool KeyLedger::closeEntry(const KeyBatch &batch, const KeyOutcome &outcome)
{
    const auto known = m_entries.find(outcome.key);
    if (known == m_entries.end() || known->second.runner != outcome.runner) {
        return false;
    }
    const bool learnsMore = known->second.fate == KeyFate::Unknown && outcome.fate == KeyFate::Answered;
    if (known->second.fate != KeyFate::Open && !learnsMore) {
        return false;
    }
    if (batch.writer != outcome.runner && !mayAnnounce(batch)) {
        return false;
    }
    known->second.fate = outcome.fate;
    setAnswer(known->second, outcome);
    return true;
}

void KeyLedger::resumeAfterLoss(const LedgerView &view)
{
    m_lostThrough.reset();
    m_claim = view.claim;
    // Whatever has expired unread concerned keys created no later than `newest`: they can't be told from keys that
    // were never used, so none of them may be run again.
    const auto lowest = view.newest == WallTime{} ? WallTime{} : view.newest + std::chrono::milliseconds(1);
    m_floor = std::max({m_floor, view.floor, lowest});
    m_newest = std::max(m_newest, view.newest);
    const auto pending = std::exchange(m_pending, {});
    for (const auto &[offset, batch] : pending) {
        if (offset <= view.covers) {
            keepUnverified(batch);
        } else {
            applyWhole(offset, batch);
        }
    }
}

/** Takes the keys of @p batch over though its writer can't be checked: knowing a key too much only refuses it. */
void KeyLedger::keepUnverified(const KeyBatch &batch)
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
            const bool fits = entry.fate == KeyFate::Open && entry.runner == outcome->runner;
            entry.fate = fits && outcome->fate == KeyFate::Answered ? KeyFate::Answered : KeyFate::Unknown;
            if (entry.fate == KeyFate::Answered) {
                setAnswer(entry, *outcome);
            }
        }
    }
}

void KeyLedger::setAnswer(KeyEntry &entry, const KeyOutcome &outcome)
{
    if (outcome.fate != KeyFate::Answered) {
        return;
    }
    entry.answer = outcome.answer;
    m_answerBytes += entry.answer.body.size();
}

void KeyLedger::noteTime(const Uuid7 &key)
{
    m_newest = std::max(m_newest, key.time());
}

void KeyLedger::forgetOld()
{
    auto horizon = m_newest - m_options.window;
    if (m_entries.size() > m_options.maxEntries) {
        const auto excess = m_entries.size() - m_options.maxEntries + m_options.maxEntries / ForgetDivisor;
        const auto oldestKept = std::next(m_entries.begin(), static_cast<std::ptrdiff_t>(excess));
        horizon = std::max(horizon, oldestKept->first.time());
    }
    // The floor rises before anything is forgotten: a forgotten key is below it for ever and is never run again.
    m_floor = std::max(m_floor, horizon);
    while (!m_entries.empty() && m_entries.begin()->first.time() < horizon) {
        m_answerBytes -= m_entries.begin()->second.answer.body.size();
        m_entries.erase(m_entries.begin());
    }
}

void KeyLedger::dropAnswers()
{
    if (m_answerBytes <= m_options.maxAnswerBytes) {
        return;
    }
    const auto goal = m_options.maxAnswerBytes - m_options.maxAnswerBytes / ForgetDivisor;
    for (auto &[key, entry] : m_entries) {
        if (m_answerBytes <= goal) {
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
 * Whether @p batch has been folded before. An append whose reply was lost is made again and may land twice, the second
 * time after the key was released and announced anew; folding it twice would release a key that is running.
 */
bool KeyLedger::isDoubled(const KeyBatch &batch)
{
    if (!m_options.safeguards.doubledBatchesSkipped) {
        return false;
    }
    auto &last = m_serials[batch.writer];
    if (batch.serial <= last) {
        return true;
    }
    last = batch.serial;
    if (m_serials.size() > MaxWriters) {
        m_serials.erase(m_serials.begin()->first == batch.writer ? std::next(m_serials.begin()) : m_serials.begin());
    }
    return false;
}

} // namespace Heatherridge
