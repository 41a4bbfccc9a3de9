#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/ownedpartitions.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** The partitions that the platform's log has assigned to one member. */
struct ShareAssignment
{
    std::uint64_t generation = 0;
    std::set<int> partitions{}; ///< that all members share
    std::set<int> zonePartitions{}; ///< that only the members of the same availability zone share
};

/** Interface to the platform's assignment of partitions to live members. Single-threaded; answers arrive later on the
 * same thread. */
class ShareLog
{
public:
    virtual ~ShareLog() = default;

    /** Joins, or renews the membership. A member that has not called for @p lease is removed. */
    virtual void join(const std::string &member, std::chrono::milliseconds lease, std::uint64_t generation,
                      std::function<void(Result<ShareAssignment>)> done) = 0;

    /** Leaves immediately. */
    virtual void leave(const std::string &member) = 0;
};

/**
 * Determines which work items belong to this process, based on the platform log's assignment of partitions.
 *
 * This is a hint that avoids duplicate work, not a lock: during changes a partition may have two owners, or none, so
 * the work must be safe with any number of workers. While the log does not answer, the last assignment remains in
 * effect: nobody else can take it over in the meantime, and work done by nobody is worse than work done twice.
 * Single-threaded; driven by tick().
 */
class WorkShare
{
public:
    struct Options
    {
        std::string member{}; ///< unique to this run of the process
        int partitionCount = 1; ///< number of partitions that all members share
        int zonePartitionCount = 1; ///< number of those that the members of one availability zone share
        std::chrono::milliseconds callInterval{450}; ///< a third of the lease, so that two calls may get lost
        std::chrono::milliseconds lease{1'500}; ///< the longest time that a dead member's work is left undone
    };

    /** Uses @p log, which must outlive it. */
    WorkShare(ShareLog &log, Options options);

    /** Calls the log if a call is due. */
    void tick(SteadyTime now);

    /** Returns whether @p work, any stable name, belongs to this process. */
    bool isMine(std::string_view work) const;

    /** Returns whether @p work belongs to this process among the processes of its availability zone. */
    bool isMineInZone(std::string_view work) const;

    /** Returns the fraction of all work that belongs to this process; the fractions of all live processes add up to 1.
     * Empty before the first answer. */
    std::optional<double> fraction() const;

    /**
     * Returns the fraction to use for work that all members share equally, even if there are not enough partitions for
     * each: never 0 while joined. A member without a partition is one of more members than there are partitions.
     */
    std::optional<double> nonZeroFraction() const;

    /**
     * Returns the smallest number of members, this one included, that is consistent with the assigned partitions if the
     * log divides them evenly; 1 before the first answer.
     */
    int memberCount() const;

    /** Returns the partitions of the last assignment, and until when no other member can have them. */
    OwnedPartitions ownedPartitions() const;

    /** Returns the fraction of the work of its availability zone that belongs to this process; empty if it is unknown
     * or none. */
    std::optional<double> zoneFraction() const;

    /** Returns whether the log has confirmed the assignment within its lease, so that no other member can have it. */
    bool isConfirmed(SteadyTime now) const;

    /** Called after the log was restored from an older copy: the assignment has to be confirmed again. */
    void logRestored();

    /** Leaves and gives up all work. */
    void leave();

    /** Becomes a member again, without any work until the log has answered. Does nothing before leave(). */
    void rejoin();

private:
    ShareLog &m_log;
    Options m_options;
    ShareAssignment m_share;
    SteadyTime m_nextCallAt{};
    std::optional<SteadyTime> m_confirmedAt; ///< start of the last successful call
    std::uint64_t m_restoreCount = 0; ///< of the log; answers to calls from before the last restore are ignored
    bool m_isCalling = false;
    bool m_hasLeft = false;
};

} // namespace Heatherridge
