#pragma once

#include "heatherridge_state/keys/keyledger.h"

#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/**
 * What one gate knows about keys beyond the ledger: outcomes of its own runs that have not been read back yet, and the
 * runs listed in a hand-over. Does no I/O. Not thread-safe.
 */
class UnrecordedKeys
{
public:
    /** Replaces the entry of a key by the contents of @p record. Ignores claims. */
    void update(const KeyRecord &record);

    /** Erases the entry of @p key. Called when the key is run again, because an earlier run no longer counts. */
    void erase(const Uuid7 &key);

    /** Erases the entries whose outcomes @p ledger has recorded from @p batch. */
    void eraseRecorded(const KeyBatch &batch, const KeyLedger &ledger);

    /** Returns the entry of @p key from here or from @p ledger, whichever knows more. */
    std::optional<KeyEntry> find(const Uuid7 &key, const KeyLedger &ledger) const;

    /** Returns all keys of @p ledger, followed by the ones stored here, as records for another gate. */
    std::vector<KeyRecord> snapshot(const KeyLedger &ledger) const;

private:
    std::map<Uuid7, KeyEntry> m_entries;
};

} // namespace Heatherridge
