#pragma once

#include "heatherridge_state/base/ids.h"

#include <optional>

namespace Heatherridge
{

/** A process claims to lead a group. Counts only while the claim that it replaces is the present one. */
struct GroupClaim
{
    int rank = 0; ///< whose gate's process claims
    Incarnation incarnation{}; ///< of that process
    FencingNumber replaces{}; ///< offset of the claim it takes over from; 0 for none

    bool operator==(const GroupClaim &) const = default;
};

/** Who leads a group. */
struct GroupLeadership
{
    FencingNumber fencing{}; ///< offset of the claim on the group's stream
    GroupClaim claim{};
};

/**
 * Folds the claims on a group's stream: of several that replace the same one the first counts.
 *
 * The claim stands on the group's own stream, not on the control stream: it concerns this group's processes alone, and
 * a fleet has hundreds of groups. Offsets only grow, so a claim whose records have expired is still below later ones.
 */
class GroupClaimTracker
{
public:
    /** Takes the claim at @p offset. Returns whether it is the present one now. */
    bool apply(LogOffset offset, const GroupClaim &claim);

    /** Who leads, or nothing. */
    const std::optional<GroupLeadership> &current() const;

private:
    std::optional<GroupLeadership> m_current;
};

} // namespace Heatherridge
