#pragma once

#include "heatherridge_coordination/config/configreplica.h"
#include "heatherridge_coordination/config/logreader.h"
#include "heatherridge_coordination/config/snapshotloader.h"

namespace Heatherridge
{

/** Receives the changes of a replica's state. */
class ReplicaListener
{
public:
    virtual ~ReplicaListener() = default;

    /** Called after @p records were folded, in order. */
    virtual void recordsFolded(const std::vector<FoldedRecord> &records) = 0;

    /** Called after the whole state was replaced, from a snapshot or a peer. */
    virtual void stateReplaced() = 0;

    /** Called when the log has answered a read. @p atEnd: the log held nothing beyond the folded offset at that time.
     */
    virtual void logAnswered(bool atEnd)
    {
        static_cast<void>(atEnd);
    }
};

/** Options of a LogFollower. */
struct LogFollowerOptions
{
    LogReaderOptions reader{};
    std::chrono::milliseconds initialBackoff{200}; ///< delay between attempts to load a snapshot
    std::chrono::milliseconds maxBackoff{5'000};
};

/**
 * Keeps a replica up to date with the control stream by reading the log directly.
 *
 * A process without any state loads the last snapshot and then reads the records after it. One that missed records for
 * longer than the log keeps them does the same. While it is cut off and no snapshot closes the gap, it continues to
 * read in search of an operator's reset. The service and the replica must outlive it. Single-threaded.
 */
class LogFollower final : private LogReaderClient
{
public:
    LogFollower(LogService &service, ConfigReplica &replica, RandomSource &random,
                const LogFollowerOptions &options = {});

    /** Sets the listener, which must outlive the follower; nullptr removes it. */
    void setListener(ReplicaListener *listener);

    /** Sets whether the log is read once the state is confirmed; until then it always is. */
    void setActive(bool active);

    /** Starts the calls due at @p now. */
    void tick(SteadyTime now);

    /** Returns whether the log answered the last call; empty before the first answer or failure. */
    std::optional<bool> isReachable() const;

    /** Returns the number of damaged snapshot parts read. */
    std::uint64_t damagedParts() const;

private:
    LogOffset nextReadOffset() const override;
    void handlePage(const LogPage &page) override;
    void startLoader();
    void handleSnapshot(Result<std::optional<AssembledImage>> result);

    LogService &m_service;
    ConfigReplica &m_replica;
    RandomSource &m_random;
    LogReader m_reader;
    RetryBackoff m_retryBackoff;
    ReplicaListener *m_listener = nullptr;
    std::optional<SnapshotLoader> m_loader;
    bool m_loaderDone = false;
    bool m_needsSnapshot;
    bool m_isBackoffPending = false; ///< a delay must be drawn before the next attempt to load a snapshot
    bool m_active = true;
    bool m_loaderFailed = false;
    SteadyTime m_nextAttemptAt{};
    LogOffset m_scannedUpTo{}; ///< while cut off: the offset up to which the log has been searched for a reset
    std::uint64_t m_damagedParts = 0;
};

} // namespace Heatherridge
