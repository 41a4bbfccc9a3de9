#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** What the platform's log says of one member's share. */
struct ShareAssignment
{
    std::uint64_t generation = 0;
    std::set<int> partitions{}; ///< of the partitions, those that belong to the member
};

/** The platform's division of numbered parts among living members. One thread; answers come later on it. */
class ShareLog
{
public:
    virtual ~ShareLog() = default;

    /** Joins, or stays. Who has not called for @p lease is taken for gone. */
    virtual void join(const std::string &member, std::chrono::milliseconds lease, std::uint64_t generation,
                      std::function<void(Result<ShareAssignment>)> done) = 0;

    /** Leaves at once. */
    virtual void leave(const std::string &member) = 0;
};

/**
 * Which pieces of work this process is the one to do, as far as the platform's log can tell.
 *
 * A hint that saves work, not a lock: around changes two members may hold a part, or none. What is done under it has to
 * be safe with any number of doers. While the log does not answer, the last share stands: nobody else can take it over
 * meanwhile, and work that nobody does is worse than work that two do. One thread; moved on by tick().
 */
class WorkShare
{
public:
    struct Options
    {
        std::string member{}; ///< unique for this run of the process
        int partitionCount = 1; ///< partitions of a topic of the log
        std::chrono::milliseconds callInterval{450}; ///< between calls; a third of the lease, so that two may get lost
        std::chrono::milliseconds lease{1'500}; ///< how long a dead member's work lies idle at most
    };

    /** Uses @p log, which must outlive it. */
    WorkShare(ShareLog &log, Options options);

    /** Calls when it is time. */
    void tick(SteadyTime now);

    /** Whether @p work, any stable name, belongs to this process. */
    bool isMine(std::string_view work) const;

    /** Part of all work that belongs to this process; those of all living processes add up to 1. Nothing before the
     * first answer. */
    std::optional<double> fraction() const;

    /**
     * The same for what all members do alike, whether or not the log has pieces of work enough for each: never 0. A
     * member that has none is one of more members than there are parts.
     */
    std::optional<double> nonZeroFraction() const;

    /** Whether the log has confirmed the share within its lease, so that nobody else can have it. */
    bool isConfirmed(SteadyTime now) const;

    /** The log has come back from an older copy: its division holds once it has confirmed it anew. */
    void logRestored();

    /** Gives everything back. */
    void leave();

private:
    ShareLog &m_log;
    Options m_options;
    ShareAssignment m_share;
    SteadyTime m_nextCallAt{};
    std::optional<SteadyTime> m_confirmedAt; ///< when the last call that was answered was made
    std::uint64_t m_restoreCount = 0; ///< of the log; answers to calls from before the last are not taken
    bool m_isCalling = false;
    bool m_hasLeft = false;
};

} // namespace Heatherridge
