#pragma once

namespace Heatherridge
{

/**
 * The rules that the safety of switches depends on, each of which tests can disable to show that it is needed: with any
 * one disabled there are schedules in which two ranks use different maps in one step. All of them are enabled outside
 * tests.
 */
struct SwitchSafeguards
{
    bool limitBeforeVote = true; ///< a gate agrees only after its engine has confirmed the limit at which it will stop
    bool countEveryVote = true; ///< a switch is committed only by the votes of all ranks
    bool latestBound = true; ///< the switch takes effect at the latest bound of all ranks, not at the earliest
    bool oneAtATime = true; ///< a gate that has agreed to a switch agrees to no other before it knows the outcome
    bool keepLimitAfterRestart = true; ///< a restarted gate treats a limit that it finds in its engine as a vote
    bool sameRunVotes = true; ///< only the run of a gate that a proposal was addressed to may agree to it
    bool firstEpochWins = true; ///< of two epochs with the same number, the first in the log is valid
    bool namedEngineOnly = true; ///< only the run of an engine that an epoch names may enter it
};

} // namespace Heatherridge
