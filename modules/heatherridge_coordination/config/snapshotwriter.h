#pragma once

#include "heatherridge_coordination/config/configreplica.h"
#include "heatherridge_coordination/config/retrybackoff.h"
#include "heatherridge_coordination/logservice.h"

#include <memory>
#include <optional>

namespace Heatherridge
{

/** When snapshots are written, and the backoff after failures. */
struct SnapshotWriterOptions
{
    std::uint64_t recordsBetweenSnapshots = 64; ///< about the number that a new process folds after loading one
    std::chrono::milliseconds interval{std::chrono::minutes(30)}; ///< well below the log's retention time
    std::chrono::milliseconds stagger{2'000}; ///< the process of rank N waits N times this once a snapshot is due
    std::chrono::milliseconds initialBackoff{1'000};
    std::chrono::milliseconds maxBackoff{30'000};
};

/** Snapshots of one process, by outcome. */
struct SnapshotWriterCounters
{
    std::uint64_t written = 0;
    std::uint64_t abandoned = 0; ///< an append failed; the parts written so far remain as an incomplete snapshot
};

/**
 * Writes the folded state to the snapshot stream before the records that it covers expire.
 *
 * No writer is elected: each process that follows the log detects that a snapshot is due and writes one after a delay
 * that grows with its rank, unless another process has announced one by then. Concurrent snapshots are harmless. A
 * process whose state is unconfirmed writes none. The service must outlive the writer. Single-threaded.
 */
class SnapshotWriter
{
public:
    SnapshotWriter(LogService &service, RandomSource &random, SnapshotWriterOptions options = {});

    /** Begins a snapshot if one is due at @p now. @p rank is this process's index among those that may write. */
    void tick(SteadyTime now, const ConfigReplica &replica, std::size_t rank);

    /** Returns whether a snapshot is being written. */
    bool isWriting() const;

    /** Returns the counters since the start. */
    const SnapshotWriterCounters &counters() const;

private:
    bool isDue(SteadyTime now, const ConfigReplica &replica);
    void begin(const ConfigState &state);
    void appendNext();
    void abandon();

    LogService &m_service;
    RandomSource &m_random;
    SnapshotWriterOptions m_options;
    RetryBackoff m_retryBackoff;
    std::optional<LogOffset> m_lastCoveredOffset; ///< of the snapshot announced at the last check
    SteadyTime m_announcedAt{}; ///< when that snapshot was first seen by this process
    std::optional<SteadyTime> m_dueSince;
    SteadyTime m_nextAttemptAt{};
    bool m_isBackoffPending = false; ///< a delay must be drawn before the next snapshot
    std::vector<Bytes> m_payloads; ///< parts still to append, in reverse order
    SnapshotTaken m_announcement;
    bool m_isWriting = false;
    SnapshotWriterCounters m_counters;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Heatherridge
