#include "heatherridge_state/groups/splitplacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** Loads below this fraction of the total count as zero: rounding residue. */
constexpr double NegligibleFraction = 1e-9;

class SplitPlacer
{
public:
    SplitPlacer(const LayerProblem &problem, const LayerPlacement &current)
        : m_problem(problem)
        , m_remainingLoad(problem.load)
        , m_isUnplaced(problem.load.size(), true)
        , m_currentExperts(problem.slots.size())
    {
        for (const auto &slot : current) {
            if (slot.rank < m_currentExperts.size() && slot.expert < m_remainingLoad.size()) {
                m_currentExperts[slot.rank].push_back(slot.expert);
            }
        }
        m_totalLoad = std::accumulate(m_remainingLoad.begin(), m_remainingLoad.end(), 0.0);
    }

    LayerPlacement computePlacement()
    {
        double totalSpeed = 0;
        std::vector<int> ranks;
        for (std::size_t rank = 0; rank < m_problem.slots.size(); ++rank) {
            if (m_problem.slots[rank] > 0) {
                ranks.push_back(static_cast<int>(rank));
                totalSpeed += 1 / m_problem.slowness[rank];
            }
        }
        m_remainingRanks = static_cast<int>(ranks.size());
        for (const int rank : ranks) {
            fillRank(rank, m_totalLoad / totalSpeed / m_problem.slowness[rank]);
            --m_remainingRanks;
        }
        std::sort(m_placed.begin(), m_placed.end());
        return m_placed;
    }

private:
    void fillRank(int rank, double capacity)
    {
        double remainingCapacity = capacity;
        int freeSlots = m_problem.slots[rank];
        const auto unplacedExperts = std::count(m_isUnplaced.begin(), m_isUnplaced.end(), true);
        // Whole experts that this rank must take so that the slots of the later ranks suffice for the rest.
        int wholeExpertsDue =
            std::max(1, static_cast<int>((unplacedExperts + m_remainingRanks - 1) / m_remainingRanks));
        while (freeSlots > 1 && wholeExpertsDue > 0) {
            const int expert = pickWholeExpert(rank, remainingCapacity, wholeExpertsDue);
            if (expert < 0) {
                break;
            }
            remainingCapacity -= m_remainingLoad[expert];
            placeReplica(expert, rank, m_remainingLoad[expert]);
            --freeSlots;
            --wholeExpertsDue;
        }
        if (freeSlots > 0 && remainingCapacity > capacity * NegligibleFraction) {
            if (const int expert = pickExpertToSplit(rank, remainingCapacity); expert >= 0) {
                placeReplica(expert, rank, std::min(remainingCapacity, m_remainingLoad[expert]));
            }
        }
    }

    /** Returns an expert whose remaining load fits whole: the heaviest that the rank holds already, if any; otherwise
     * the lightest, or for the last whole expert the heaviest. -1 if none fits. */
    int pickWholeExpert(int rank, double remainingCapacity, int wholeExpertsDue) const
    {
        const auto fits = [&](int expert) {
            return m_isUnplaced[expert] && m_remainingLoad[expert] <= remainingCapacity && !isPlacedOn(expert, rank);
        };
        int best = -1;
        for (const int expert : m_currentExperts[rank]) {
            if (fits(expert) && (best < 0 || m_remainingLoad[expert] > m_remainingLoad[best])) {
                best = expert;
            }
        }
        if (best >= 0) {
            return best;
        }
        for (int expert = 0; expert < static_cast<int>(m_remainingLoad.size()); ++expert) {
            if (fits(expert)
                && (best < 0 || (m_remainingLoad[expert] > m_remainingLoad[best]) == (wholeExpertsDue == 1))) {
                best = expert;
            }
        }
        return best;
    }

    /** Returns the expert to split: one that the rank holds already with at least @p remainingCapacity load remaining,
     * otherwise the one with the most load remaining. -1 if there is none. */
    int pickExpertToSplit(int rank, double remainingCapacity) const
    {
        for (const int expert : m_currentExperts[rank]) {
            if (m_isUnplaced[expert] && m_remainingLoad[expert] >= remainingCapacity && !isPlacedOn(expert, rank)) {
                return expert;
            }
        }
        int best = -1;
        for (int expert = 0; expert < static_cast<int>(m_remainingLoad.size()); ++expert) {
            if (m_isUnplaced[expert] && !isPlacedOn(expert, rank)
                && (best < 0 || m_remainingLoad[expert] > m_remainingLoad[best])) {
                best = expert;
            }
        }
        return best;
    }

    bool isPlacedOn(int expert, int rank) const
    {
        return std::any_of(m_placed.begin(), m_placed.end(),
                           [&](const auto &slot) { return slot.expert == expert && slot.rank == rank; });
    }

    void placeReplica(int expert, int rank, double load)
    {
        const double expertLoad = m_problem.load[expert];
        const double share = expertLoad > 0 ? load / expertLoad * ExpertSlot::WholeShare : ExpertSlot::WholeShare;
        m_placed.push_back({.expert = static_cast<std::uint16_t>(expert),
                            .rank = static_cast<std::uint16_t>(rank),
                            .share = static_cast<std::uint16_t>(std::lround(share))});
        m_remainingLoad[expert] -= load;
        m_isUnplaced[expert] = m_remainingLoad[expert] > m_totalLoad * NegligibleFraction;
    }

    const LayerProblem &m_problem;
    std::vector<double> m_remainingLoad; ///< by expert: load not yet placed
    std::vector<bool> m_isUnplaced; ///< by expert: whether some load is not yet placed
    std::vector<std::vector<int>> m_currentExperts; ///< by rank: experts that it holds in the current placement
    LayerPlacement m_placed;
    double m_totalLoad = 0;
    int m_remainingRanks = 0;
};

} // namespace

LayerPlacement splitPlacement(const LayerProblem &problem, const LayerPlacement &current)
{
    return SplitPlacer(problem, current).computePlacement();
}

} // namespace Heatherridge
