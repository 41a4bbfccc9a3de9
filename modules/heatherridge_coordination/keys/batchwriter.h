#pragma once

#include "heatherridge_state/keys/keyrecord.h"

#include <deque>
#include <functional>
#include <optional>

namespace Heatherridge
{

/**
 * Group commit for one key stream: collects records while an append is in flight and appends them in one batch.
 *
 * At most one batch is in flight at a time, until it has been read back. An append that failed or whose reply was lost
 * is repeated with the same serial, so that the batches are logged in the order in which they were created. Does no
 * I/O. Not thread-safe.
 */
class BatchWriter
{
public:
    /** @param self the gate that writes the batches */
    explicit BatchWriter(GateId self);

    /** Adds @p record to the end of the queue. */
    void add(KeyRecord record);

    /** Removes the queued records for which @p matches returns true. Does not affect the batch in flight. */
    void removeQueued(const std::function<bool(const KeyRecord &)> &matches);

    /**
     * Returns the batch to append now, or nothing while a batch is in flight or if no records are queued.
     *
     * @param view summary of the records that the writer has applied
     * @param onBehalfOf the claim under which the writer acts if it is not the holder
     */
    std::optional<KeyBatch> nextBatch(const LedgerView &view, const std::optional<ClaimId> &onBehalfOf);

    /** Called when the append ended. If @p ok, the batch awaits read-back; otherwise nextBatch() returns it again. */
    void appendCompleted(std::uint64_t serial, bool ok);

    /** Called when batch @p serial has been read back. Returns whether it was the batch in flight. */
    bool confirmReadBack(std::uint64_t serial);

    /** Abandons the batch in flight, which can no longer be read back, and returns its records. */
    std::vector<KeyRecord> abandon();

    /** Returns the records in flight, followed by the queued ones. */
    std::vector<KeyRecord> unconfirmedRecords() const;

    /** Returns whether all records added have been read back. */
    bool isEmpty() const;

private:
    enum class State {
        Idle,
        Appending,
        Appended,
        Failed,
    };

    GateId m_self;
    std::deque<KeyRecord> m_queued;
    std::optional<KeyBatch> m_inFlight;
    State m_state = State::Idle;
    std::uint64_t m_serial = 0;
};

} // namespace Heatherridge
