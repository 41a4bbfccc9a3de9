#include "heatherridge_state/groups/groupepoch.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Bits for the maps of one leader. At one map a second the numbers last for twelve days; the leader then claims its
 * role again and gets a new range. */
constexpr unsigned MapNumberBitsPerLeader = 20;

} // namespace

const EpochMember *GroupEpoch::find(int rank) const
{
    const auto found =
        std::find_if(members.begin(), members.end(), [rank](const auto &member) { return member.rank == rank; });
    return found == members.end() ? nullptr : &*found;
}

MapNumber firstMapNumber(FencingNumber fencing)
{
    return static_cast<MapNumber>((toNumber(fencing) << MapNumberBitsPerLeader) + 1);
}

FencingNumber leaderOf(MapNumber number)
{
    return static_cast<FencingNumber>(toNumber(number) >> MapNumberBitsPerLeader);
}

bool GroupEpochTracker::apply(const GroupEpoch &epoch)
{
    if (m_current) {
        const bool sharesRank = std::any_of(epoch.members.begin(), epoch.members.end(), [this](const auto &member) {
            return m_current->find(member.rank) != nullptr;
        });
        if (epoch.number <= m_current->number || !sharesRank) {
            m_ignoredRecords += epoch == *m_current ? 0 : 1;
            return false;
        }
    }
    m_current = epoch;
    return true;
}

const std::optional<GroupEpoch> &GroupEpochTracker::current() const
{
    return m_current;
}

std::uint64_t GroupEpochTracker::ignoredCount() const
{
    return m_ignoredRecords;
}

} // namespace Heatherridge
