#pragma once

#include "heatherridge_coordination/config/configreplica.h"
#include "heatherridge_coordination/config/logreader.h"
#include "heatherridge_coordination/config/snapshotloader.h"

namespace Heatherridge
{

/** Who is told what a follower has folded. */
class FollowerListener
{
public:
    virtual ~FollowerListener() = default;

    /** These records were folded, in order. */
    virtual void recordsFolded(const std::vector<FoldedRecord> &records) = 0;

    /** The whole state was taken over from a snapshot. */
    virtual void stateReplaced() = 0;

    /** The log answered a read. @p atEnd: at that moment nothing lay beyond the folded offset. */
    virtual void logAnswered(bool atEnd)
    {
        static_cast<void>(atEnd);
    }
};

/** How a follower reads. */
struct LogFollowerOptions
{
    LogReaderOptions reader{};
    std::chrono::milliseconds initialBackoff{200}; ///< pause between tries to find a snapshot
    std::chrono::milliseconds maxBackoff{5'000};
};

/**
 * Keeps a replica up with the control stream by reading the log itself.
 *
 * A process without any state loads the last snapshot and then reads what follows it. One that was away for longer
 * than the log keeps records does the same. While it is cut off and no snapshot helps, it reads on in search of an
 * operator's reset. The service and the replica must outlive it. One thread.
 */
class LogFollower final : private LogReaderClient
{
public:
    LogFollower(LogService &service, ConfigReplica &replica, RandomSource &random,
                const LogFollowerOptions &options = {});

    /** Who is told; nullptr for nobody. Must outlive the follower. */
    void setListener(FollowerListener *listener);

    /** Whether the log is read once the state is confirmed; before, it always is. */
    void setActive(bool active);

    /** Starts what is due at @p now. */
    void tick(SteadyTime now);

    /** Whether the log answered the last time; nothing before the first answer or failure. */
    std::optional<bool> isReachable() const;

    /** Parts of snapshots that were damaged. */
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
    FollowerListener *m_listener = nullptr;
    std::optional<SnapshotLoader> m_loader;
    bool m_loaderDone = false;
    bool m_needsSnapshot;
    bool m_isBackoffPending = false; ///< a pause has to be drawn before the next search
    bool m_active = true;
    bool m_loaderFailed = false;
    SteadyTime m_nextAttemptAt{};
    LogOffset m_scannedUpTo{}; ///< while cut off: how far the log has been searched for a reset
    std::uint64_t m_damagedParts = 0;
};

} // namespace Heatherridge
