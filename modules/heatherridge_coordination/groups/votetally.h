#pragma once

#include "heatherridge_coordination/groups/switchsafeguards.h"
#include "heatherridge_protocol/groupmessage.h"

#include <map>
#include <optional>

namespace Heatherridge
{

/** The outcome of a switch. */
struct SwitchOutcome
{
    bool committed = false;
    StepNumber effectiveFrom{}; ///< if committed: the first step that uses the new map

    bool operator==(const SwitchOutcome &) const = default;
};

/**
 * The known votes on one switch, and the outcome once they determine it.
 *
 * A switch is committed when all ranks of the epoch have agreed, and takes effect at the latest of their bounds. It is
 * aborted when any rank has refused. Votes are final and every process applies the same rule, so two tallies with
 * enough votes always yield the same outcome, regardless of the senders and the order of the votes. Value type.
 */
class VoteTally
{
public:
    /** Creates a tally without votes. */
    explicit VoteTally(EpochNumber epoch = {}, SwitchSafeguards safeguards = {});

    /** Returns the epoch whose ranks vote. */
    EpochNumber epoch() const;

    /** Adds a vote; has no effect if the vote of this rank is already known. */
    void add(const Vote &vote);

    /** Adds all votes of @p voteList, and its commit step if it has one. */
    void merge(const VoteList &voteList);

    /** Records that an engine has scheduled the switch for step @p effectiveFrom, which proves that it is committed. */
    void setCommitted(StepNumber effectiveFrom);

    /** Returns the vote of @p rank, or nullptr if it is not known. This object keeps ownership. */
    const Vote *voteOf(int rank) const;

    /** Returns the outcome of a vote among @p ranks, or nothing while it is undecided. */
    std::optional<SwitchOutcome> outcome(const std::vector<int> &ranks) const;

    /** Returns the votes on map @p map as a message. */
    VoteList toVoteList(MapNumber map) const;

private:
    EpochNumber m_epoch;
    SwitchSafeguards m_safeguards;
    std::map<int, Vote> m_votes;
    std::optional<StepNumber> m_committedAt;
};

} // namespace Heatherridge
