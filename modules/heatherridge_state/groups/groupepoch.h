#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/groups/expertmap.h"

#include <optional>
#include <vector>

namespace Heatherridge
{

/** Number of one composition of a group; 0 means "none". A group steps in one epoch after the other. */
enum class EpochNumber : std::uint64_t {};

/** The number as such. */
constexpr std::uint64_t toNumber(EpochNumber number)
{
    return static_cast<std::uint64_t>(number);
}

/** Number of one step within an epoch; the first is 0. */
enum class StepNumber : std::uint64_t {};

/** The number as such. */
constexpr std::uint64_t toNumber(StepNumber number)
{
    return static_cast<std::uint64_t>(number);
}

/** One rank of an epoch: which rank, and which run of its engine. */
struct EpochMember
{
    int rank = 0;
    Incarnation incarnation{}; ///< an engine that restarts has lost weights and step, so it is another member

    bool operator==(const EpochMember &) const = default;
};

/** A composition of the group: its ranks and the map of step 0. */
struct GroupEpoch
{
    EpochNumber number{};
    FencingNumber leader{}; ///< who composed it
    std::vector<EpochMember> members{}; ///< ordered by rank
    ExpertMap map{};

    /** The member with @p rank, or nullptr. This object keeps ownership. */
    const EpochMember *find(int rank) const;

    bool operator==(const GroupEpoch &) const = default;
};

/** The least map number that the leader with @p fencing may give. Each leader numbers in a range of its own, so one
 * number never names two maps. */
MapNumber firstMapNumber(FencingNumber fencing);

/** The fencing number of the leader that gave @p number. */
FencingNumber leaderOf(MapNumber number);

/**
 * Which epoch is in force, folded from the records of a group's stream; every process that folds the same records
 * arrives at the same epoch.
 *
 * The first record of a number wins: two leaders that both compose the epoch after the one they know use the same
 * number, and the later record is without effect everywhere. An epoch must share a rank with the one before. That rank
 * either leaves the old epoch when it enters the new one, or its engine has restarted; either way the old epoch, which
 * cannot step without it, never steps beside the new one.
 */
class GroupEpochTracker
{
public:
    /** Takes one record, from the log or from a peer. Returns whether it is now the epoch in force. */
    bool apply(const GroupEpoch &epoch);

    /** The epoch in force, or nothing. */
    const std::optional<GroupEpoch> &current() const;

    /** Records that were without effect. */
    std::uint64_t ignoredCount() const;

private:
    std::optional<GroupEpoch> m_current;
    std::uint64_t m_ignoredRecords = 0;
};

} // namespace Heatherridge
