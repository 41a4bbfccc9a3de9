#pragma once

#include "heatherridge_coordination/groups/votetally.h"

namespace Heatherridge
{

/** The ballots of one epoch that a gate keeps, to settle its own vote and to answer peers. Value type. */
class VoteTallyHistory
{
public:
    /** Ballots kept. Of committed switches a peer can lack only the last, since the next one needs its vote; of aborted
     * ones it may be some behind, and a gate that has forgotten one refuses it again. */
    static constexpr std::size_t MaxTallies = 64;

    /** An empty box. */
    explicit VoteTallyHistory(SwitchSafeguards safeguards = {});

    /**
     * The ballot on @p map, made when there is none. The oldest others are forgotten, but never the one on @p pending.
     * @param epoch whose ranks vote, for a new ballot
     */
    VoteTally &tallyFor(MapNumber map, EpochNumber epoch, MapNumber pending);

private:
    SwitchSafeguards m_safeguards;
    std::map<MapNumber, VoteTally> m_tallies;
};

} // namespace Heatherridge
