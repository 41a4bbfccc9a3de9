#include "heatherridge_state/groups/cutplacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** Loads below this part of the whole count as none: what rounding leaves over. */
constexpr double Negligible = 1e-9;

class Cutter
{
public:
    Cutter(const LayerProblem &problem, const LayerPlacement &current)
        : m_problem(problem)
        , m_left(problem.load)
        , m_open(problem.load.size(), true)
        , m_held(problem.slots.size())
    {
        for (const auto &slot : current) {
            if (slot.rank < m_held.size() && slot.expert < m_left.size()) {
                m_held[slot.rank].push_back(slot.expert);
            }
        }
        m_total = std::accumulate(m_left.begin(), m_left.end(), 0.0);
    }

    LayerPlacement run()
    {
        double speed = 0;
        std::vector<int> ranks;
        for (std::size_t rank = 0; rank < m_problem.slots.size(); ++rank) {
            if (m_problem.slots[rank] > 0) {
                ranks.push_back(static_cast<int>(rank));
                speed += 1 / m_problem.slowness[rank];
            }
        }
        m_ranksLeft = static_cast<int>(ranks.size());
        for (const int rank : ranks) {
            fill(rank, m_total / speed / m_problem.slowness[rank]);
            --m_ranksLeft;
        }
        std::sort(m_placed.begin(), m_placed.end());
        return m_placed;
    }

private:
    void fill(int rank, double part)
    {
        double room = part;
        int slots = m_problem.slots[rank];
        const auto openExperts = std::count(m_open.begin(), m_open.end(), true);
        // Experts that this rank must take whole so that the slots of the later ranks suffice for the rest.
        int due = std::max(1, static_cast<int>((openExperts + m_ranksLeft - 1) / m_ranksLeft));
        while (slots > 1 && due > 0) {
            const int expert = pickWhole(rank, room, due);
            if (expert < 0) {
                break;
            }
            room -= m_left[expert];
            place(expert, rank, m_left[expert]);
            --slots;
            --due;
        }
        if (slots > 0 && room > part * Negligible) {
            if (const int expert = pickCut(rank, room); expert >= 0) {
                place(expert, rank, std::min(room, m_left[expert]));
            }
        }
    }

    /** A whole expert that fits: the rank's own if there is one; else the lightest, and for the last the heaviest. */
    int pickWhole(int rank, double room, int due) const
    {
        const auto fits = [&](int expert) { return m_open[expert] && m_left[expert] <= room && !isOn(expert, rank); };
        int best = -1;
        for (const int expert : m_held[rank]) {
            if (fits(expert) && (best < 0 || m_left[expert] > m_left[best])) {
                best = expert;
            }
        }
        if (best >= 0) {
            return best;
        }
        for (int expert = 0; expert < static_cast<int>(m_left.size()); ++expert) {
            if (fits(expert) && (best < 0 || (m_left[expert] > m_left[best]) == (due == 1))) {
                best = expert;
            }
        }
        return best;
    }

    /** An expert with at least @p room left: the rank's own, else the heaviest there is. */
    int pickCut(int rank, double room) const
    {
        for (const int expert : m_held[rank]) {
            if (m_open[expert] && m_left[expert] >= room && !isOn(expert, rank)) {
                return expert;
            }
        }
        int best = -1;
        for (int expert = 0; expert < static_cast<int>(m_left.size()); ++expert) {
            if (m_open[expert] && !isOn(expert, rank) && (best < 0 || m_left[expert] > m_left[best])) {
                best = expert;
            }
        }
        return best;
    }

    bool isOn(int expert, int rank) const
    {
        return std::any_of(m_placed.begin(), m_placed.end(),
                           [&](const auto &slot) { return slot.expert == expert && slot.rank == rank; });
    }

    void place(int expert, int rank, double load)
    {
        const double whole = m_problem.load[expert];
        const double share = whole > 0 ? load / whole * ExpertSlot::WholeShare : ExpertSlot::WholeShare;
        m_placed.push_back({.expert = static_cast<std::uint16_t>(expert),
                            .rank = static_cast<std::uint16_t>(rank),
                            .share = static_cast<std::uint16_t>(std::lround(share))});
        m_left[expert] -= load;
        m_open[expert] = m_left[expert] > m_total * Negligible;
    }

    const LayerProblem &m_problem;
    std::vector<double> m_left; ///< by expert: load not yet placed
    std::vector<bool> m_open; ///< by expert: whether some is left
    std::vector<std::vector<int>> m_held; ///< by rank: experts of the current placement
    LayerPlacement m_placed;
    double m_total = 0;
    int m_ranksLeft = 0;
};

} // namespace

LayerPlacement cutPlacement(const LayerProblem &problem, const LayerPlacement &current)
{
    return Cutter(problem, current).run();
}

} // namespace Heatherridge
