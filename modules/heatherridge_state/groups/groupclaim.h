#pragma once

#include "heatherridge_state/base/ids.h"

#include <optional>

namespace Heatherridge
{

/** Claim of a process to lead a group. Valid only if the claim that it replaces is the current one. */
struct GroupClaim
{
    int rank = 0; ///< rank whose gate process makes the claim
    Incarnation incarnation{}; ///< incarnation of that process
    FencingNumber replaces{}; ///< offset of the claim that it supersedes; 0 for none

    bool operator==(const GroupClaim &) const = default;
};

/** The leader of a group. */
struct GroupLeadership
{
    FencingNumber fencing{}; ///< offset of the claim on the group's stream
    GroupClaim claim{};
};

/**
 * Determines the leader of a group from the claims on its stream. Of several claims that replace the same claim, the
 * first is valid.
 *
 * Claims are written to the group's own stream rather than the control stream because they concern only the processes
 * of this group and a fleet has hundreds of groups. Offsets only increase, so a claim whose records have expired still
 * compares lower than later ones.
 */
class GroupClaimTracker
{
public:
    /** Applies the claim at @p offset. Returns whether it became the current one. */
    bool apply(LogOffset offset, const GroupClaim &claim);

    /** Returns the current leadership, or nothing. */
    const std::optional<GroupLeadership> &current() const;

private:
    std::optional<GroupLeadership> m_current;
};

} // namespace Heatherridge
