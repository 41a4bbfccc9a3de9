#include "heatherridge_state/groups/layerbalance.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** The redistribution has converged when a pass changes no rank by more than this fraction of the layer's load, which
 * is below any noise. */
constexpr double ConvergenceFraction = 1e-6;
/** Bisection steps when searching the bound: 2^-40 is far below the rounding of shares. */
constexpr int BisectionSteps = 40;

double totalOf(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

std::vector<double> rankTimes(const LayerProblem &problem, const LayerPlacement &placement)
{
    std::vector<double> times(problem.slots.size(), 0);
    for (const auto &slot : placement) {
        const double fraction = static_cast<double>(slot.share) / ExpertSlot::WholeShare;
        times[slot.rank] += problem.load[slot.expert] * fraction * problem.slowness[slot.rank];
    }
    return times;
}

LayerBalance balanceOf(const LayerProblem &problem, const LayerPlacement &placement)
{
    const auto times = rankTimes(problem, placement);
    LayerBalance balance;
    int ranks = 0;
    for (std::size_t rank = 0; rank < times.size(); ++rank) {
        if (problem.slots[rank] == 0) {
            continue;
        }
        balance.slowest = std::max(balance.slowest, times[rank]);
        balance.mean += times[rank];
        ++ranks;
    }
    balance.mean = ranks > 0 ? balance.mean / ranks : 0;
    return balance;
}

double slowestTimeLowerBound(const LayerProblem &problem)
{
    double totalSpeed = 0;
    double minSlowness = HUGE_VAL;
    int slots = 0;
    for (std::size_t rank = 0; rank < problem.slots.size(); ++rank) {
        if (problem.slots[rank] > 0) {
            totalSpeed += 1 / problem.slowness[rank];
            minSlowness = std::min(minSlowness, problem.slowness[rank]);
            slots += problem.slots[rank];
        }
    }
    const double total = totalOf(problem.load);
    if (totalSpeed <= 0 || total <= 0) {
        return 0;
    }
    const auto fits = [&](double time) {
        double replicas = 0;
        for (const double load : problem.load) {
            replicas += std::max(1.0, std::ceil(load * minSlowness / time - 1e-9));
        }
        return replicas <= slots;
    };
    double low = total / totalSpeed;
    double high = total * minSlowness;
    if (fits(low)) {
        return low;
    }
    for (int i = 0; i < BisectionSteps; ++i) {
        const double middle = (low + high) / 2;
        (fits(middle) ? high : low) = middle;
    }
    return low;
}

LayerAssignment::LayerAssignment(const LayerProblem &problem, const LayerPlacement &current)
    : m_problem(&problem)
    , m_replicas(problem.load.size())
    , m_rankLoads(problem.slots.size(), 0)
    , m_usedSlots(problem.slots.size(), 0)
{
    for (const auto &slot : current) {
        if (slot.rank < problem.slots.size() && slot.expert < problem.load.size() && hasFreeSlot(slot.rank)) {
            const double load = problem.load[slot.expert] * slot.share / ExpertSlot::WholeShare;
            m_replicas[slot.expert].push_back({.rank = slot.rank, .load = load});
            m_rankLoads[slot.rank] += load;
            ++m_usedSlots[slot.rank];
        }
    }
}

bool LayerAssignment::placeMissingExperts()
{
    std::vector<int> missing;
    for (std::size_t expert = 0; expert < m_replicas.size(); ++expert) {
        if (m_replicas[expert].empty()) {
            missing.push_back(static_cast<int>(expert));
        }
    }
    std::stable_sort(missing.begin(), missing.end(),
                     [this](int left, int right) { return m_problem->load[left] > m_problem->load[right]; });
    for (const int expert : missing) {
        const auto ranks = ranksSlowestFirst();
        const auto freeRank =
            std::find_if(ranks.rbegin(), ranks.rend(), [this](int rank) { return hasFreeSlot(rank); });
        if (freeRank != ranks.rend()) {
            addReplica(expert, *freeRank);
            continue;
        }
        const auto redundant = std::find_if(ranks.rbegin(), ranks.rend(),
                                            [this](int rank) { return redundantExpertOn(rank).has_value(); });
        if (redundant == ranks.rend()) {
            return false;
        }
        removeReplica(*redundantExpertOn(*redundant), *redundant);
        addReplica(expert, *redundant);
    }
    return true;
}

void LayerAssignment::redistributeLoad(int maxPasses)
{
    const double tolerance = totalOf(m_problem->load) * ConvergenceFraction;
    for (int pass = 0; pass < maxPasses; ++pass) {
        const auto previousLoads = m_rankLoads;
        for (std::size_t expert = 0; expert < m_replicas.size(); ++expert) {
            distributeLoad(static_cast<int>(expert));
        }
        double maxChange = 0;
        for (std::size_t rank = 0; rank < previousLoads.size(); ++rank) {
            maxChange = std::max(maxChange, std::abs(previousLoads[rank] - m_rankLoads[rank]));
        }
        if (maxChange <= tolerance) {
            return;
        }
    }
}

void LayerAssignment::addReplica(int expert, int rank)
{
    m_replicas[expert].push_back({.rank = rank, .load = 0});
    ++m_usedSlots[rank];
    distributeLoad(expert);
}

void LayerAssignment::removeReplica(int expert, int rank)
{
    auto &replicas = m_replicas[expert];
    const auto found =
        std::find_if(replicas.begin(), replicas.end(), [rank](const auto &replica) { return replica.rank == rank; });
    m_rankLoads[rank] -= found->load;
    --m_usedSlots[rank];
    replicas.erase(found);
    distributeLoad(expert);
}

std::optional<int> LayerAssignment::redundantExpertOn(int rank) const
{
    std::optional<int> redundant;
    double minLoad = HUGE_VAL;
    for (std::size_t expert = 0; expert < m_replicas.size(); ++expert) {
        for (const auto &replica : m_replicas[expert]) {
            if (replica.rank == rank && m_replicas[expert].size() > 1 && replica.load < minLoad) {
                minLoad = replica.load;
                redundant = static_cast<int>(expert);
            }
        }
    }
    return redundant;
}

bool LayerAssignment::holdsExpert(int expert, int rank) const
{
    return std::any_of(m_replicas[expert].begin(), m_replicas[expert].end(),
                       [rank](const auto &replica) { return replica.rank == rank; });
}

bool LayerAssignment::hasFreeSlot(int rank) const
{
    return m_usedSlots[rank] < m_problem->slots[rank];
}

std::vector<int> LayerAssignment::expertsByLoadOn(int rank) const
{
    std::vector<std::pair<double, int>> loads;
    for (std::size_t expert = 0; expert < m_replicas.size(); ++expert) {
        for (const auto &replica : m_replicas[expert]) {
            if (replica.rank == rank) {
                loads.emplace_back(-replica.load, static_cast<int>(expert));
            }
        }
    }
    std::sort(loads.begin(), loads.end());
    std::vector<int> experts;
    experts.reserve(loads.size());
    for (const auto &[load, expert] : loads) {
        experts.push_back(expert);
    }
    return experts;
}

const std::vector<LayerAssignment::Replica> &LayerAssignment::replicasOf(int expert) const
{
    return m_replicas[expert];
}

double LayerAssignment::timeOf(int rank) const
{
    return m_rankLoads[rank] * m_problem->slowness[rank];
}

double LayerAssignment::slowestTime() const
{
    double slowest = 0;
    for (std::size_t rank = 0; rank < m_rankLoads.size(); ++rank) {
        slowest = std::max(slowest, timeOf(static_cast<int>(rank)));
    }
    return slowest;
}

std::vector<int> LayerAssignment::ranksSlowestFirst() const
{
    std::vector<int> ranks;
    for (std::size_t rank = 0; rank < m_rankLoads.size(); ++rank) {
        if (m_problem->slots[rank] > 0) {
            ranks.push_back(static_cast<int>(rank));
        }
    }
    std::stable_sort(ranks.begin(), ranks.end(), [this](int left, int right) { return timeOf(left) > timeOf(right); });
    return ranks;
}

LayerPlacement LayerAssignment::placement() const
{
    LayerPlacement placement;
    for (std::size_t expert = 0; expert < m_replicas.size(); ++expert) {
        auto replicas = m_replicas[expert];
        std::sort(replicas.begin(), replicas.end(), [](const auto &a, const auto &b) { return a.rank < b.rank; });
        const double total = m_problem->load[expert];
        int remainingShare = ExpertSlot::WholeShare;
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            const double fraction = total > 0 ? replicas[i].load / total : 1.0 / static_cast<double>(replicas.size());
            const int rounded = static_cast<int>(std::lround(fraction * ExpertSlot::WholeShare));
            const int share = i + 1 == replicas.size() ? remainingShare : std::min(remainingShare, rounded);
            remainingShare -= share;
            placement.push_back({.expert = static_cast<std::uint16_t>(expert),
                                 .rank = static_cast<std::uint16_t>(replicas[i].rank),
                                 .share = static_cast<std::uint16_t>(share)});
        }
    }
    return placement;
}

void LayerAssignment::distributeLoad(int expert)
{
    auto &replicas = m_replicas[expert];
    for (auto &replica : replicas) {
        m_rankLoads[replica.rank] -= replica.load;
    }
    std::sort(replicas.begin(), replicas.end(),
              [this](const auto &a, const auto &b) { return timeOf(a.rank) < timeOf(b.rank); });
    // Water filling: the first k replicas are raised to a common level, with the smallest k for which the next replica
    // is not below that level.
    double totalSpeed = 0;
    double levelledLoad = m_problem->load[expert];
    double level = 0;
    for (std::size_t filled = 0; filled < replicas.size(); ++filled) {
        const int rank = replicas[filled].rank;
        totalSpeed += 1 / m_problem->slowness[rank];
        levelledLoad += m_rankLoads[rank];
        level = levelledLoad / totalSpeed;
        if (filled + 1 < replicas.size() && timeOf(replicas[filled + 1].rank) >= level) {
            break;
        }
    }
    for (auto &replica : replicas) {
        const double headroom = level / m_problem->slowness[replica.rank] - m_rankLoads[replica.rank];
        replica.load = std::max(0.0, headroom);
        m_rankLoads[replica.rank] += replica.load;
    }
}

} // namespace Heatherridge
