#pragma once

#include "heatherridge_coordination/groups/votetally.h"

namespace Heatherridge
{

/**
 * The most recent vote tallies of one epoch. A gate uses them to determine the outcome of its own vote and to answer
 * peers. Value type.
 */
class VoteTallyHistory
{
public:
    /**
     * Maximum number of tallies kept. A peer can miss at most the latest committed switch, since the next one needs
     * its vote. It may miss several aborted switches; a gate that has dropped the tally of one refuses it again.
     */
    static constexpr std::size_t MaxTallies = 64;

    /** Creates an empty history. */
    explicit VoteTallyHistory(SwitchSafeguards safeguards = {});

    /**
     * Returns the tally for @p map, creating it if necessary. Evicts the oldest other tallies above the maximum, but
     * never the one for @p pending.
     * @param epoch the epoch whose ranks vote, for a new tally
     */
    VoteTally &tallyFor(MapNumber map, EpochNumber epoch, MapNumber pending);

private:
    SwitchSafeguards m_safeguards;
    std::map<MapNumber, VoteTally> m_tallies;
};

} // namespace Heatherridge
