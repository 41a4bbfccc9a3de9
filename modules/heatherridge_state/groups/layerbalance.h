#pragma once

#include "heatherridge_state/groups/expertmap.h"

#include <optional>
#include <vector>

namespace Heatherridge
{

/** Input for computing the placement of one layer. The vectors are indexed by expert or by rank. */
struct LayerProblem
{
    std::vector<double> load{}; ///< by expert: its share of the layer's tokens, in any unit
    std::vector<double> slowness{}; ///< by rank: time for one unit of load, 1 for a healthy rank
    std::vector<int> slots{}; ///< by rank: number of experts that fit
};

/** Balance of a layer's work over the ranks. */
struct LayerBalance
{
    double slowest = 0; ///< time of the slowest rank, in load units
    double mean = 0; ///< mean time of the ranks that have slots

    /** Returns the slowest time divided by the mean; 1 when there is no load. */
    double skew() const
    {
        return mean > 0 ? slowest / mean : 1;
    }
};

/** Returns the time of each rank under @p placement with its shares. */
std::vector<double> rankTimes(const LayerProblem &problem, const LayerPlacement &placement);

/** Returns how @p placement balances the work of @p problem. Ranks without slots are ignored. */
LayerBalance balanceOf(const LayerProblem &problem, const LayerPlacement &placement);

/**
 * Returns a lower bound of the slowest rank's time over all placements and shares, regardless of the bytes they move.
 *
 * No placement can be faster than the total load divided by the sum of the speeds. In addition, a rank processes at
 * most T/slowness in a time T, so an expert needs at least ceil(load x least slowness / T) replicas; the replicas of
 * all experts must fit into the total number of slots.
 */
double slowestTimeLowerBound(const LayerProblem &problem);

/**
 * Working state of the placement of one layer: which ranks hold which experts, and how the load is distributed.
 *
 * The load is distributed by water filling: an expert's load goes to the replicas on the ranks that finish first, until
 * their times are equal. Repeated for all experts until nothing changes, this minimises the sum of squared rank times,
 * and the minimum also has the lowest time of the slowest rank that the given replicas allow. Value type;
 * single-threaded.
 */
class LayerAssignment
{
public:
    /** One replica and the load assigned to it. */
    struct Replica
    {
        int rank = 0;
        double load = 0;
    };

    /** Maximum number of passes; leaves a deviation of less than 1e-4 of a rank's load for the sizes in use. */
    static constexpr int MaxRedistributionPasses = 24;

    /** Adopts the slots of @p current that are valid for @p problem, which must outlive this object. */
    LayerAssignment(const LayerProblem &problem, const LayerPlacement &current);

    /** Adds a replica of every expert that has none, heaviest first, on the rank that finishes first. Where no slot is
     * free, replaces a redundant replica. Returns false if there is no slot. */
    bool placeMissingExperts();

    /** Redistributes all loads over the existing replicas, in at most @p maxPasses passes over the experts. */
    void redistributeLoad(int maxPasses = MaxRedistributionPasses);

    /** Adds a replica of @p expert on @p rank and redistributes the load of this expert only. */
    void addReplica(int expert, int rank);

    /** Removes the replica of @p expert on @p rank and redistributes the expert's load over its other replicas. */
    void removeReplica(int expert, int rank);

    /** Returns the expert on @p rank with the least load there among those with other replicas; nothing if there is
     * none. */
    std::optional<int> redundantExpertOn(int rank) const;

    /** Returns whether @p rank holds @p expert. */
    bool holdsExpert(int expert, int rank) const;

    /** Returns whether @p rank has a free slot. */
    bool hasFreeSlot(int rank) const;

    /** Returns the experts on @p rank by decreasing load on that rank. */
    std::vector<int> expertsByLoadOn(int rank) const;

    /** Returns the replicas of @p expert, in no particular order. This object keeps ownership. */
    const std::vector<Replica> &replicasOf(int expert) const;

    /** Returns the time of @p rank. */
    double timeOf(int rank) const;

    /** Returns the time of the slowest rank. */
    double slowestTime() const;

    /** Returns the ranks with slots by decreasing time. */
    std::vector<int> ranksSlowestFirst() const;

    /** Returns the placement with shares rounded to the unit of ExpertSlot::share. */
    LayerPlacement placement() const;

private:
    void distributeLoad(int expert);

    const LayerProblem *m_problem;
    std::vector<std::vector<Replica>> m_replicas;
    std::vector<double> m_rankLoads;
    std::vector<int> m_usedSlots;
};

} // namespace Heatherridge
