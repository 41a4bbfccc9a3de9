#include "heatherridge_coordination/groups/votetally.h"

#include <algorithm>

namespace Heatherridge
{

VoteTally::VoteTally(EpochNumber epoch, SwitchSafeguards safeguards)
    : m_epoch(epoch)
    , m_safeguards(safeguards)
{
}

EpochNumber VoteTally::epoch() const
{
    return m_epoch;
}

void VoteTally::add(const Vote &vote)
{
    m_votes.emplace(vote.rank, vote);
}

void VoteTally::merge(const VoteList &voteList)
{
    for (const auto &vote : voteList.votes) {
        add(vote);
    }
    if (voteList.committedAt) {
        setCommitted(*voteList.committedAt);
    }
}

void VoteTally::setCommitted(StepNumber effectiveFrom)
{
    m_committedAt = effectiveFrom;
}

const Vote *VoteTally::voteOf(int rank) const
{
    const auto found = m_votes.find(rank);
    return found == m_votes.end() ? nullptr : &found->second;
}

std::optional<SwitchOutcome> VoteTally::outcome(const std::vector<int> &ranks) const
{
    if (m_committedAt) {
        return SwitchOutcome{.committed = true, .effectiveFrom = *m_committedAt};
    }
    StepNumber latestVoteBound{};
    StepNumber earliestVoteBound{UINT64_MAX};
    std::size_t agreedCount = 0;
    for (const int rank : ranks) {
        const auto *vote = voteOf(rank);
        if (vote != nullptr && !vote->agreed) {
            return SwitchOutcome{};
        }
        if (vote != nullptr) {
            ++agreedCount;
            latestVoteBound = std::max(latestVoteBound, vote->bound);
            earliestVoteBound = std::min(earliestVoteBound, vote->bound);
        }
    }
    const std::size_t requiredVotes = m_safeguards.countEveryVote ? ranks.size() : ranks.size() / 2 + 1;
    if (ranks.empty() || agreedCount < requiredVotes) {
        return std::nullopt;
    }
    return SwitchOutcome{.committed = true,
                         .effectiveFrom = m_safeguards.latestBound ? latestVoteBound : earliestVoteBound};
}

VoteList VoteTally::toVoteList(MapNumber map) const
{
    VoteList voteList{.epoch = m_epoch, .map = map, .votes = {}, .committedAt = m_committedAt};
    for (const auto &[rank, vote] : m_votes) {
        voteList.votes.push_back(vote);
    }
    return voteList;
}

} // namespace Heatherridge
