#pragma once

#include "heatherridge_state/groups/expertmap.h"

#include <optional>
#include <vector>

namespace Heatherridge
{

/** What the placement of one layer is computed from. Both vectors are indexed by expert or rank. */
struct LayerProblem
{
    std::vector<double> load{}; ///< by expert: its part of the layer's tokens, in any unit
    std::vector<double> slowness{}; ///< by rank: time for one unit of load, 1 for a healthy rank
    std::vector<int> slots{}; ///< by rank: experts that fit
};

/** How evenly a layer's work lies. */
struct LayerBalance
{
    double slowest = 0; ///< time of the slowest rank, in load units
    double mean = 0; ///< mean time of the ranks that hold anything

    /** Slowest over mean; 1 when there is no load. */
    double skew() const
    {
        return mean > 0 ? slowest / mean : 1;
    }
};

/** Rank times under @p placement with its shares. */
std::vector<double> rankTimes(const LayerProblem &problem, const LayerPlacement &placement);

/** How evenly @p placement spreads the work of @p problem. Ranks without slots don't count. */
LayerBalance balanceOf(const LayerProblem &problem, const LayerPlacement &placement);

/**
 * A lower bound on the slowest rank's time over all placements and shares, however many bytes they move.
 *
 * No placement can be faster than the work over all speeds. And in a time T a rank does at most T/slowness, so an
 * expert needs at least ceil(load x least slowness / T) replicas; they must fit into all slots together.
 */
double slowestTimeLowerBound(const LayerProblem &problem);

/**
 * The placement of one layer while it is being improved: who holds what, and how the load is divided.
 *
 * The division is by filling: an expert's load goes to the replicas whose ranks are done first, until they are level.
 * Done expert by expert until nothing changes, this minimises the sum of squared rank times, whose minimum is also the
 * least slowest rank that the given replicas allow. Value type; one thread.
 */
class LayerAssignment
{
public:
    /** One replica and the load divided to it. */
    struct Replica
    {
        int rank = 0;
        double load = 0;
    };

    /** Passes that leave less than 1e-4 of a rank's load undivided in the sizes in use. */
    static constexpr int MaxRedistributionPasses = 24;

    /** Takes over @p current as far as it fits @p problem, which must outlive this object. */
    LayerAssignment(const LayerProblem &problem, const LayerPlacement &current);

    /** Gives every expert without a replica one, heaviest first, to the rank that is done first. False when there is no
     * room. */
    bool placeMissingExperts();

    /** Divides all loads anew over the replicas there are, in at most @p maxPasses over the experts. */
    void redistributeLoad(int maxPasses = MaxRedistributionPasses);

    /** Adds a replica of @p expert on @p rank and divides only its load. */
    void addReplica(int expert, int rank);

    /** Removes the replica of @p expert on @p rank and divides its load over the others. */
    void removeReplica(int expert, int rank);

    /** The replica on @p rank that is missed least: one with siblings and the least load; nothing when all are sole. */
    std::optional<int> redundantExpertOn(int rank) const;

    /** Whether @p rank holds @p expert. */
    bool holdsExpert(int expert, int rank) const;

    /** Whether @p rank has a slot left. */
    bool hasFreeSlot(int rank) const;

    /** Experts on @p rank, the one with most load there first. */
    std::vector<int> expertsByLoadOn(int rank) const;

    /** The replicas of @p expert, in no particular order. This object keeps ownership. */
    const std::vector<Replica> &replicasOf(int expert) const;

    /** Time of @p rank. */
    double timeOf(int rank) const;

    /** Time of the slowest rank. */
    double slowestTime() const;

    /** Ranks with slots, slowest first. */
    std::vector<int> ranksSlowestFirst() const;

    /** The placement with its shares rounded to ExpertSlot's unit. */
    LayerPlacement placement() const;

private:
    void distributeLoad(int expert);

    const LayerProblem *m_problem;
    std::vector<std::vector<Replica>> m_replicas;
    std::vector<double> m_rankLoads;
    std::vector<int> m_usedSlots;
};

} // namespace Heatherridge
