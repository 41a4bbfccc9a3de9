#include "heatherridge_coordination/groups/votetallyhistory.h"

namespace Heatherridge
{

VoteTallyHistory::VoteTallyHistory(SwitchSafeguards safeguards)
    : m_safeguards(safeguards)
{
}

VoteTally &VoteTallyHistory::tallyFor(MapNumber map, EpochNumber epoch, MapNumber pending)
{
    auto oldest = m_tallies.begin();
    while (m_tallies.size() > MaxTallies && oldest != m_tallies.end()) {
        const bool needed = oldest->first == pending || oldest->first == map;
        oldest = needed ? std::next(oldest) : m_tallies.erase(oldest);
    }
    return m_tallies.try_emplace(map, epoch, m_safeguards).first->second;
}

} // namespace Heatherridge
