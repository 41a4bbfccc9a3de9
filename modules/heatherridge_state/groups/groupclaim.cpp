#include "heatherridge_state/groups/groupclaim.h"

namespace Heatherridge
{

bool GroupClaimTracker::apply(LogOffset offset, const GroupClaim &claim)
{
    const auto fencing = static_cast<FencingNumber>(toNumber(offset));
    // Without a current claim any claim is accepted: the one that it replaces has expired from the log.
    if (m_current && (claim.replaces != m_current->fencing || fencing <= m_current->fencing)) {
        return false;
    }
    m_current = GroupLeadership{.fencing = fencing, .claim = claim};
    return true;
}

const std::optional<GroupLeadership> &GroupClaimTracker::current() const
{
    return m_current;
}

} // namespace Heatherridge
