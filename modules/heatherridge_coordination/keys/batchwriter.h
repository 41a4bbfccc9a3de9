#pragma once

#include "heatherridge_state/keys/keyrecord.h"

#include <deque>
#include <functional>
#include <optional>

namespace Heatherridge
{

/**
 * Group commit for one key stream: collects records while an append is under way and sends them in one.
 *
 * At most one batch is out at a time, until it has been read back. An append that failed, or whose reply was lost, is
 * made again with the same number, so that the order of batches in the log is the order in which they were made.
 * No I/O; one thread.
 */
class BatchWriter
{
public:
    /** @param self who writes */
    explicit BatchWriter(GateId self);

    /** Adds @p record behind all others. */
    void add(KeyRecord record);

    /** Removes the waiting records, not those on their way, for which @p matches holds. */
    void removeQueued(const std::function<bool(const KeyRecord &)> &matches);

    /**
     * The batch to append now, or nothing while an append is under way or when there is nothing to write.
     *
     * @param view what the writer has folded
     * @param onBehalfOf the claim under which a writer acts that is not its holder
     */
    std::optional<KeyBatch> nextBatch(const LedgerView &view, const std::optional<ClaimId> &onBehalfOf);

    /** The append ended. With @p ok the batch only waits to be read back, otherwise nextBatch() yields it again. */
    void appendCompleted(std::uint64_t serial, bool ok);

    /** The batch @p serial has been read back. Returns whether it was the one on its way. */
    bool confirmReadBack(std::uint64_t serial);

    /** Gives up the batch on its way, which can't be read back any more. @returns its records */
    std::vector<KeyRecord> abandon();

    /** The records on their way, then those that wait. */
    std::vector<KeyRecord> unconfirmedRecords() const;

    /** Whether everything added has been read back. */
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
