#include "heatherridge_state/groups/groupclaim.h"

namespace Heatherridge
{

bool GroupClaims::apply(LogOffset offset, const GroupClaim &claim)
{
    const auto fencing = static_cast<FencingNumber>(toNumber(offset));
    // Without a present claim any is taken: the one it replaces has expired from the log.
    if (m_present && (claim.replaces != m_present->fencing || fencing <= m_present->fencing)) {
        return false;
    }
    m_present = GroupLeadership{.fencing = fencing, .claim = claim};
    return true;
}

const std::optional<GroupLeadership> &GroupClaims::present() const
{
    return m_present;
}

} // namespace Heatherridge
