#pragma once

#include "heatherridge_coordination/groups/switchsafeguards.h"
#include "heatherridge_protocol/groupmessage.h"

#include <map>
#include <optional>

namespace Heatherridge
{

/** How a switch ended. */
struct SwitchOutcome
{
    bool committed = false;
    StepNumber effectiveFrom{}; ///< when committed: the first step with the new map

    bool operator==(const SwitchOutcome &) const = default;
};

/**
 * The votes known on one switch, and the outcome as far as they decide it.
 *
 * A switch is committed when all ranks of the epoch have agreed, and takes effect at the latest of their bounds; it is
 * aborted when one has refused. Votes are final and everyone applies this one rule, so no two places that know enough
 * votes can differ, whoever told them and in whatever order. Value type.
 */
class VoteTally
{
public:
    /** A ballot without votes. */
    explicit VoteTally(EpochNumber epoch = {}, SwitchSafeguards safeguards = {});

    /** The epoch whose ranks vote. */
    EpochNumber epoch() const;

    /** Adds one vote; one that is known already changes nothing. */
    void add(const Vote &vote);

    /** Adds all that @p list says. */
    void merge(const VoteList &voteList);

    /** Takes down that an engine has the switch on its schedule for @p from, which proves the outcome. */
    void setCommitted(StepNumber effectiveFrom);

    /** The vote of @p rank, or nullptr. This object keeps ownership. */
    const Vote *voteOf(int rank) const;

    /** The outcome when all of @p ranks vote; nothing while votes are missing. */
    std::optional<SwitchOutcome> outcome(const std::vector<int> &ranks) const;

    /** The votes as a message. */
    VoteList toVoteList(MapNumber map) const;

private:
    EpochNumber m_epoch;
    SwitchSafeguards m_safeguards;
    std::map<int, Vote> m_votes;
    std::optional<StepNumber> m_committedAt;
};

} // namespace Heatherridge
