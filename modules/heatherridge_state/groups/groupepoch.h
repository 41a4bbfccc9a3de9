#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/groups/expertmap.h"

#include <optional>
#include <vector>

namespace Heatherridge
{

/** Number of a group membership epoch; 0 means "none". A group executes its steps in one epoch at a time. */
enum class EpochNumber : std::uint64_t {};

/** Returns the underlying number. */
constexpr std::uint64_t toNumber(EpochNumber number)
{
    return static_cast<std::uint64_t>(number);
}

/** Number of a step within an epoch; the first is 0. */
enum class StepNumber : std::uint64_t {};

/** Returns the underlying number. */
constexpr std::uint64_t toNumber(StepNumber number)
{
    return static_cast<std::uint64_t>(number);
}

/** One member of an epoch: a rank and the incarnation of its engine. */
struct EpochMember
{
    int rank = 0;
    Incarnation incarnation{}; ///< a restarted engine has lost its weights and step, so it counts as a different member

    bool operator==(const EpochMember &) const = default;
};

/** A membership epoch of the group: its ranks and the expert map in use at step 0. */
struct GroupEpoch
{
    EpochNumber number{};
    FencingNumber leader{}; ///< fencing number of the leader that created the epoch
    std::vector<EpochMember> members{}; ///< ordered by rank
    ExpertMap map{};

    /** Returns the member with @p rank, or nullptr. This object keeps ownership. */
    const EpochMember *find(int rank) const;

    bool operator==(const GroupEpoch &) const = default;
};

/** Returns the lowest map number that the leader with @p fencing may assign. Each leader assigns numbers from a range
 * of its own, so a number never identifies two maps. */
MapNumber firstMapNumber(FencingNumber fencing);

/** Returns the fencing number of the leader that assigned @p number. */
FencingNumber leaderOf(MapNumber number);

/**
 * Determines the active epoch from the records of a group's stream. Every process that applies the same records obtains
 * the same epoch.
 *
 * The first record with a given number wins: two leaders that both create the successor of the epoch they know use the
 * same number, and every process ignores the later record. An epoch must share a rank with its predecessor. That rank
 * either leaves the old epoch when it enters the new one, or its engine has restarted. In both cases the old epoch
 * cannot step without the rank, so the old and the new epoch never step at the same time.
 */
class GroupEpochTracker
{
public:
    /** Applies a record from the log or from a peer. Returns whether it became the active epoch. */
    bool apply(const GroupEpoch &epoch);

    /** Returns the active epoch, or nothing. */
    const std::optional<GroupEpoch> &current() const;

    /** Returns the number of records that were ignored. */
    std::uint64_t ignoredCount() const;

private:
    std::optional<GroupEpoch> m_current;
    std::uint64_t m_ignoredRecords = 0;
};

} // namespace Heatherridge
