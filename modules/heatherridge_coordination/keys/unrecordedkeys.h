#pragma once

#include "heatherridge_state/keys/keyledger.h"

#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/**
 * What one gate knows of keys beyond the ledger: ends of its own runs that are not read back yet, and the runs that a
 * hand-over named. No I/O; one thread.
 */
class UnrecordedKeys
{
public:
    /** Takes what @p record says of a key over whatever was known here. Claims are ignored. */
    void update(const KeyRecord &record);

    /** The key is run anew: what was known of an earlier run no longer counts. */
    void erase(const Uuid7 &key);

    /** Forgets what @p ledger has learnt by @p batch. */
    void eraseRecorded(const KeyBatch &batch, const KeyLedger &ledger);

    /** What is known of @p key, here or in @p ledger; whichever knows more. */
    std::optional<KeyEntry> find(const Uuid7 &key, const KeyLedger &ledger) const;

    /** All keys of @p ledger, then those of here, as the records that would tell another gate of them. */
    std::vector<KeyRecord> snapshot(const KeyLedger &ledger) const;

private:
    std::map<Uuid7, KeyEntry> m_entries;
};

} // namespace Heatherridge
