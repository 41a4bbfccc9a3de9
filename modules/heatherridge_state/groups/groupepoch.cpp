#include "heatherridge_state/groups/groupepoch.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Maps that one leader can number. At one a second it would take twelve days, and a leader then claims anew. */
constexpr unsigned MapsPerLeaderBits = 20;

} // namespace

const EpochMember *GroupEpoch::find(int rank) const
{
    const auto found =
        std::find_if(members.begin(), members.end(), [rank](const auto &member) { return member.rank == rank; });
    return found == members.end() ? nullptr : &*found;
}

MapNumber firstMapNumber(FencingNumber fencing)
{
    return static_cast<MapNumber>((toNumber(fencing) << MapsPerLeaderBits) + 1);
}

FencingNumber leaderOf(MapNumber number)
{
    return static_cast<FencingNumber>(toNumber(number) >> MapsPerLeaderBits);
}

bool GroupEpochs::apply(const GroupEpoch &epoch)
{
    if (m_current) {
        const bool shared = std::any_of(epoch.members.begin(), epoch.members.end(),
                                        [this](const auto &member) { return m_current->find(member.rank) != nullptr; });
        if (epoch.number <= m_current->number || !shared) {
            m_ignored += epoch == *m_current ? 0 : 1;
            return false;
        }
    }
    m_current = epoch;
    return true;
}

const std::optional<GroupEpoch> &GroupEpochs::current() const
{
    return m_current;
}

std::uint64_t GroupEpochs::ignored() const
{
    return m_ignored;
}

} // namespace Heatherridge
