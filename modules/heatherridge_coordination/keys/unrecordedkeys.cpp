#include "heatherridge_coordination/keys/unrecordedkeys.h"

#include "heatherridge_state/base/result.h"

namespace Heatherridge
{

namespace
{

KeyRecord recordOf(const Uuid7 &key, const KeyEntry &entry)
{
    if (entry.runState == RunState::Open) {
        return KeyIntent{.key = key, .fingerprint = entry.fingerprint, .runner = entry.runner};
    }
    return KeyOutcome{.key = key,
                      .fingerprint = entry.fingerprint,
                      .runner = entry.runner,
                      .runState = entry.runState,
                      .answer = entry.answer};
}

} // namespace

void UnrecordedKeys::update(const KeyRecord &record)
{
    std::visit(Visitor{
                   [this](const KeyIntent &intent) {
                       m_entries[intent.key] = KeyEntry{.fingerprint = intent.fingerprint, .runner = intent.runner};
                   },
                   [this](const KeyOutcome &outcome) {
                       m_entries[outcome.key] = KeyEntry{.fingerprint = outcome.fingerprint,
                                                         .runner = outcome.runner,
                                                         .runState = outcome.runState,
                                                         .answer = outcome.answer};
                   },
                   [](const KeyClaim &) {},
               },
               record);
}

void UnrecordedKeys::erase(const Uuid7 &key)
{
    m_entries.erase(key);
}

void UnrecordedKeys::eraseRecorded(const KeyBatch &batch, const KeyLedger &ledger)
{
    for (const auto &record : batch.records) {
        const auto *outcome = std::get_if<KeyOutcome>(&record);
        if (outcome == nullptr) {
            continue;
        }
        const auto entry = m_entries.find(outcome->key);
        const auto *recorded = ledger.find(outcome->key);
        // If the first of two runs was released, the ledger may have recorded only the outcome of the first.
        if (entry != m_entries.end() && recorded != nullptr && entry->second.runState == recorded->runState) {
            m_entries.erase(entry);
        }
    }
}

std::optional<KeyEntry> UnrecordedKeys::find(const Uuid7 &key, const KeyLedger &ledger) const
{
    const auto *recorded = ledger.find(key);
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end()) {
        return recorded == nullptr ? std::nullopt : std::optional(*recorded);
    }
    const bool ledgerKnowsMore =
        recorded != nullptr && entry->second.runState == RunState::Open && recorded->runState != RunState::NotRun;
    return ledgerKnowsMore ? *recorded : entry->second;
}

std::vector<KeyRecord> UnrecordedKeys::snapshot(const KeyLedger &ledger) const
{
    std::vector<KeyRecord> records;
    records.reserve(ledger.entries().size() + m_entries.size());
    for (const auto &[key, entry] : ledger.entries()) {
        records.push_back(recordOf(key, entry));
    }
    for (const auto &[key, entry] : m_entries) {
        records.push_back(recordOf(key, entry));
    }
    return records;
}

} // namespace Heatherridge
