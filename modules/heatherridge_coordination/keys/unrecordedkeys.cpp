#include "heatherridge_coordination/keys/unrecordedkeys.h"

#include "heatherridge_state/base/result.h"

namespace Heatherridge
{

namespace
{

KeyRecord recordOf(const Uuid7 &key, const KeyEntry &entry)
{
    if (entry.fate == KeyFate::Open) {
        return KeyIntent{.key = key, .fingerprint = entry.fingerprint, .runner = entry.runner};
    }
    return KeyOutcome{.key = key,
                      .fingerprint = entry.fingerprint,
                      .runner = entry.runner,
                      .fate = entry.fate,
                      .answer = entry.answer};
}

} // namespace

void UnrecordedKeys::note(const KeyRecord &record)
{
    std::visit(Visitor{
                   [this](const KeyIntent &intent) {
                       m_entries[intent.key] = KeyEntry{.fingerprint = intent.fingerprint, .runner = intent.runner};
                   },
                   [this](const KeyOutcome &outcome) {
                       m_entries[outcome.key] = KeyEntry{.fingerprint = outcome.fingerprint,
                                                         .runner = outcome.runner,
                                                         .fate = outcome.fate,
                                                         .answer = outcome.answer};
                   },
                   [](const KeyClaim &) {},
               },
               record);
}

void UnrecordedKeys::forget(const Uuid7 &key)
{
    m_entries.erase(key);
}

void UnrecordedKeys::forgetRecorded(const KeyBatch &batch, const KeyLedger &ledger)
{
    for (const auto &record : batch.records) {
        const auto *outcome = std::get_if<KeyOutcome>(&record);
        if (outcome == nullptr) {
            continue;
        }
        const auto entry = m_entries.find(outcome->key);
        const auto *recorded = ledger.find(outcome->key);
        // Of two runs the first of which was released, the ledger may know the first end only.
        if (entry != m_entries.end() && recorded != nullptr && entry->second.fate == recorded->fate) {
            m_entries.erase(entry);
        }
    }
}

std::optional<KeyEntry> UnrecordedKeys::known(const Uuid7 &key, const KeyLedger &ledger) const
{
    const auto *recorded = ledger.find(key);
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end()) {
        return recorded == nullptr ? std::nullopt : std::optional(*recorded);
    }
    const bool recordedKnowsMore =
        recorded != nullptr && entry->second.fate == KeyFate::Open && recorded->fate != KeyFate::NotRun;
    return recordedKnowsMore ? *recorded : entry->second;
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
