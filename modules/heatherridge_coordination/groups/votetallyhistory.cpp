#include "heatherridge_coordination/groups/votetallyhistory.h"

namespace Heatherridge
{

BallotBox::BallotBox(SwitchSafeguards safeguards)
    : m_safeguards(safeguards)
{
}

Ballot &BallotBox::at(MapNumber map, EpochNumber epoch, MapNumber pending)
{
    auto oldest = m_ballots.begin();
    while (m_ballots.size() > MostKept && oldest != m_ballots.end()) {
        const bool needed = oldest->first == pending || oldest->first == map;
        oldest = needed ? std::next(oldest) : m_ballots.erase(oldest);
    }
    return m_ballots.try_emplace(map, epoch, m_safeguards).first->second;
}

} // namespace Heatherridge
