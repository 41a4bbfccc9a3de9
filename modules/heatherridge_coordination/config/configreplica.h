#pragma once

#include "heatherridge_protocol/controlmessage.h"
#include "heatherridge_state/fold/configstate.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** Bounds of what a replica keeps beside the state. */
struct ReplicaOptions
{
    std::size_t maxBufferedRecords = 512; ///< records that came before an earlier one
    std::size_t maxBufferedBytes = 8UL << 20U; ///< their bytes
    std::size_t maxRecentRecords = 256; ///< folded records kept for peers that are behind
    std::size_t maxRecentBytes = 2UL << 20U; ///< their bytes
};

/** One record that has just been folded. */
struct FoldedRecord
{
    RelayedRecord record{};
    FoldEffect effect = FoldEffect::Skipped;
};

/** What a replica has been given and could not use, by reason. */
struct ReplicaCounters
{
    std::uint64_t outdated = 0; ///< records at or below the offset folded: doubled or late
    std::uint64_t outOfOrder = 0; ///< records that were kept until the ones before them came
    std::uint64_t dropped = 0; ///< early records beyond the bounds
    std::uint64_t rejectedImages = 0; ///< states offered that were damaged, or not newer
    std::uint64_t diverged = 0; ///< peers seen with another digest at the same offset
    std::uint64_t resetsFromGap = 0; ///< resets by which expired records were passed over
};

/**
 * One process's view of the control stream.
 *
 * Takes records from the log or from peers, in any order, doubled and with gaps, and folds each once and in order. It
 * never goes back: nothing below the offset already folded has any effect, whoever sends it. No I/O. One thread.
 */
class ConfigReplica
{
public:
    explicit ConfigReplica(ReplicaOptions options = {});

    /**
     * Takes one record.
     * @returns the records that could be folded with it, in order; empty when it was old or early
     */
    std::vector<FoldedRecord> receive(RelayedRecord record);

    /**
     * Takes over a whole state, from a snapshot or from a peer, when it is newer than the own one and its digest is
     * the one that was claimed with it.
     * @returns whether it was taken over
     */
    bool adopt(const ConfigImage &image, Digest claimedDigest);

    /**
     * What the log itself said about the stream in a read that began after this process started.
     * @param first the oldest offset still kept
     * @param last the newest offset
     */
    void noteLogBounds(LogOffset first, LogOffset last);

    /** A peer has folded up to @p offset. */
    void notePeerOffset(LogOffset offset);

    /** Compares states; @returns false, and counts, when a peer at the same offset has another digest. */
    bool checkDigest(LogOffset offset, Digest digest);

    /** The folded state. */
    const ConfigState &state() const;

    /**
     * Whether this state holds all that the log held at some moment after this process started. Until then a later
     * record may exist that nobody who was reached has seen, so what must not be done twice is not done.
     */
    bool isConfirmed() const;

    /** Whether the next record has expired from the log, so that only a whole state or a reset helps. */
    bool isCutOff() const;

    /** The oldest offset that the log was known to keep; 0 before it said so. */
    LogOffset firstLogOffset() const;

    /** The next offset to fetch, when a higher one is known to exist. */
    std::optional<LogOffset> firstMissingOffset() const;

    /** Folded records from @p from on, at most MaxRelayBytes (but at least one); empty when @p from is not kept. */
    std::vector<RelayedRecord> recentRecordsFrom(LogOffset from) const;

    /** Counters since the start. */
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
    std::deque<RelayedRecord> m_recent; ///< without gaps, up to the state's offset
    std::size_t m_recentBytes = 0;
    LogOffset m_highestKnownOffset{};
    LogOffset m_firstLogOffset{};
    std::optional<LogOffset> m_confirmationOffset; ///< end of the log in the first read after the start
    ReplicaCounters m_counters;
};

} // namespace Heatherridge
