#include "heatherridge_coordination/groups/votetally.h"

#include <algorithm>

namespace Heatherridge
{

Ballot::Ballot(EpochNumber epoch, SwitchSafeguards safeguards)
    : m_epoch(epoch)
    , m_safeguards(safeguards)
{
}

EpochNumber Ballot::epoch() const
{
    return m_epoch;
}

void Ballot::add(const Vote &vote)
{
    m_votes.emplace(vote.rank, vote);
}

void Ballot::merge(const VoteList &list)
{
    for (const auto &vote : list.votes) {
        add(vote);
    }
    if (list.committedAt) {
        setCommitted(*list.committedAt);
    }
}

void Ballot::setCommitted(StepNumber from)
{
    m_committedAt = from;
}

const Vote *Ballot::voteOf(int rank) const
{
    const auto found = m_votes.find(rank);
    return found == m_votes.end() ? nullptr : &found->second;
}

std::optional<SwitchOutcome> Ballot::outcome(const std::vector<int> &ranks) const
{
    if (m_committedAt) {
        return SwitchOutcome{.committed = true, .from = *m_committedAt};
    }
    StepNumber latest{};
    StepNumber earliest{UINT64_MAX};
    std::size_t agreed = 0;
    for (const int rank : ranks) {
        const auto *vote = voteOf(rank);
        if (vote != nullptr && !vote->agreed) {
            return SwitchOutcome{};
        }
        if (vote != nullptr) {
            ++agreed;
            latest = std::max(latest, vote->bound);
            earliest = std::min(earliest, vote->bound);
        }
    }
    const std::size_t needed = m_safeguards.countEveryVote ? ranks.size() : ranks.size() / 2 + 1;
    if (ranks.empty() || agreed < needed) {
        return std::nullopt;
    }
    return SwitchOutcome{.committed = true, .from = m_safeguards.latestBound ? latest : earliest};
}

VoteList Ballot::list(MapNumber map) const
{
    VoteList list{.epoch = m_epoch, .map = map, .votes = {}, .committedAt = m_committedAt};
    for (const auto &[rank, vote] : m_votes) {
        list.votes.push_back(vote);
    }
    return list;
}

} // namespace Heatherridge
