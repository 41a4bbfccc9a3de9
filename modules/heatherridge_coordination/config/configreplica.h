#pragma once

#include "heatherridge_protocol/controlmessage.h"
#include "heatherridge_state/fold/configstate.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** Limits of the records that a replica keeps in addition to its state. */
struct ReplicaOptions
{
    std::size_t maxBufferedRecords = 512; ///< records that arrived before a preceding one
    std::size_t maxBufferedBytes = 8UL << 20U;
    std::size_t maxRecentRecords = 256; ///< folded records kept for peers that are behind
    std::size_t maxRecentBytes = 2UL << 20U;
};

/** A folded record and its effect on the state. */
struct FoldedRecord
{
    RelayedRecord record{};
    FoldEffect effect = FoldEffect::Skipped;
};

/** Inputs that a replica did not apply directly, by reason. */
struct ReplicaCounters
{
    std::uint64_t outdated = 0; ///< records at or below the folded offset: duplicate or late
    std::uint64_t outOfOrder = 0; ///< records buffered until the preceding ones arrive
    std::uint64_t dropped = 0; ///< out-of-order records beyond the limits
    std::uint64_t rejectedImages = 0; ///< offered states that were damaged or not newer
    std::uint64_t diverged = 0; ///< peers found with a different digest at the same offset
    std::uint64_t resetsFromGap = 0; ///< resets that bridged a gap of expired records
};

/**
 * One process's replica of the state that the control stream defines.
 *
 * Accepts records from the log or from peers in any order, with duplicates and gaps, and folds each once and in order.
 * It never reverts: nothing at or below the folded offset has any effect, whoever sends it. No I/O. Single-threaded.
 */
class ConfigReplica
{
public:
    explicit ConfigReplica(ReplicaOptions options = {});

    /**
     * Accepts one record.
     * @returns the records that could be folded as a result, in order; empty when it was outdated or out of order
     */
    std::vector<FoldedRecord> receive(RelayedRecord record);

    /**
     * Replaces the state with @p image, from a snapshot or a peer, if it is newer and its digest equals
     * @p claimedDigest, which came with it.
     * @returns whether the state was replaced
     */
    bool adopt(const ConfigImage &image, Digest claimedDigest);

    /**
     * Records the bounds of the stream from a read of the log that began after this process started.
     * @param first the oldest offset still kept
     * @param last the newest offset
     */
    void noteLogBounds(LogOffset first, LogOffset last);

    /** Records that a peer has folded up to @p offset. */
    void notePeerOffset(LogOffset offset);

    /** Compares a peer's digest; @returns false, and counts it, when it differs from the own one at the same offset. */
    bool checkDigest(LogOffset offset, Digest digest);

    /** Returns the folded state. */
    const ConfigState &state() const;

    /**
     * Returns whether this state includes everything that the log held at some time after this process started. Until
     * then later records may exist that no reachable peer has seen, so nothing that must not be done twice is done.
     */
    bool isConfirmed() const;

    /** Returns whether the next record has expired from the log, so that only a full state or a reset can help. */
    bool isCutOff() const;

    /** Returns the oldest offset that the log is known to keep; 0 while unknown. */
    LogOffset firstLogOffset() const;

    /** Returns the next offset to fetch if a higher one than the folded offset is known to exist. */
    std::optional<LogOffset> firstMissingOffset() const;

    /** Returns folded records from @p from on, at most MaxRelayBytes (but at least one); empty when @p from is not
     * kept. */
    std::vector<RelayedRecord> recentRecordsFrom(LogOffset from) const;

    /** Returns the counters since the start. */
    const ReplicaCounters &counters() const;

private:
    void fold(RelayedRecord record, std::vector<FoldedRecord> &folded);
    void foldBuffered(std::vector<FoldedRecord> &folded);
    bool resetAcrossGap(const RelayedRecord &record, std::vector<FoldedRecord> &folded);
    void buffer(RelayedRecord record);
    void keepRecent(const RelayedRecord &record);
    void dropBufferedUpTo(LogOffset offset);

    ReplicaOptions m_options;
    ConfigState m_state;
    std::map<LogOffset, Bytes> m_buffered;
    std::size_t m_bufferedBytes = 0;
    std::deque<RelayedRecord> m_recent; ///< without gaps, ending at the state's offset
    std::size_t m_recentBytes = 0;
    LogOffset m_highestKnownOffset{};
    LogOffset m_firstLogOffset{};
    std::optional<LogOffset> m_confirmationOffset; ///< end of the log at the first read after the start
    ReplicaCounters m_counters;
};

} // namespace Heatherridge
