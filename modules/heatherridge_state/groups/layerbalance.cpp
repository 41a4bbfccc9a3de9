#include "heatherridge_state/groups/layerbalance.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** A pass that changes no rank by more than this part of the layer's load ends the dividing: below any noise. */
constexpr double SettledPart = 1e-6;
/** Halvings when searching the bound: 2^-40 is far below the rounding of shares. */
constexpr int BoundHalvings = 40;

double totalOf(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

std::vector<double> rankTimes(const LayerProblem &problem, const LayerPlacement &placement)
{
    std::vector<double> times(problem.slots.size(), 0);
    for (const auto &slot : placement) {
        const double part = static_cast<double>(slot.share) / ExpertSlot::WholeShare;
        times[slot.rank] += problem.load[slot.expert] * part * problem.slowness[slot.rank];
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

double slowestRankBound(const LayerProblem &problem)
{
    double speed = 0;
    double leastSlowness = HUGE_VAL;
    int slots = 0;
    for (std::size_t rank = 0; rank < problem.slots.size(); ++rank) {
        if (problem.slots[rank] > 0) {
            speed += 1 / problem.slowness[rank];
            leastSlowness = std::min(leastSlowness, problem.slowness[rank]);
            slots += problem.slots[rank];
        }
    }
    const double total = totalOf(problem.load);
    if (speed <= 0 || total <= 0) {
        return 0;
    }
    const auto fits = [&](double time) {
        double replicas = 0;
        for (const double load : problem.load) {
            replicas += std::max(1.0, std::ceil(load * leastSlowness / time - 1e-9));
        }
        return replicas <= slots;
    };
    double low = total / speed;
    double high = total * leastSlowness;
    if (fits(low)) {
        return low;
    }
    for (int i = 0; i < BoundHalvings; ++i) {
        const double middle = (low + high) / 2;
        (fits(middle) ? high : low) = middle;
    }
    return low;
}

LayerWork::LayerWork(const LayerProblem &problem, const LayerPlacement &current)
    : m_problem(&problem)
    , m_replicas(problem.load.size())
    , m_rankLoad(problem.slots.size(), 0)
    , m_used(problem.slots.size(), 0)
{
    for (const auto &slot : current) {
        if (slot.rank < problem.slots.size() && slot.expert < problem.load.size() && hasRoom(slot.rank)) {
            const double load = problem.load[slot.expert] * slot.share / ExpertSlot::WholeShare;
            m_replicas[slot.expert].push_back({.rank = slot.rank, .load = load});
            m_rankLoad[slot.rank] += load;
            ++m_used[slot.rank];
        }
    }
}

bool LayerWork::placeMissing()
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
        const auto ranks = ranksBySlowness();
        const auto free = std::find_if(ranks.rbegin(), ranks.rend(), [this](int rank) { return hasRoom(rank); });
        if (free != ranks.rend()) {
            add(expert, *free);
            continue;
        }
        const auto spare =
            std::find_if(ranks.rbegin(), ranks.rend(), [this](int rank) { return spareOn(rank).has_value(); });
        if (spare == ranks.rend()) {
            return false;
        }
        remove(*spareOn(*spare), *spare);
        add(expert, *spare);
    }
    return true;
}

void LayerWork::settle(int passes)
{
    const double settled = totalOf(m_problem->load) * SettledPart;
    for (int pass = 0; pass < passes; ++pass) {
        const auto before = m_rankLoad;
        for (std::size_t expert = 0; expert < m_replicas.size(); ++expert) {
            divide(static_cast<int>(expert));
        }
        double change = 0;
        for (std::size_t rank = 0; rank < before.size(); ++rank) {
            change = std::max(change, std::abs(before[rank] - m_rankLoad[rank]));
        }
        if (change <= settled) {
            return;
        }
    }
}

void LayerWork::add(int expert, int rank)
{
    m_replicas[expert].push_back({.rank = rank, .load = 0});
    ++m_used[rank];
    divide(expert);
}

void LayerWork::remove(int expert, int rank)
{
    auto &replicas = m_replicas[expert];
    const auto found =
        std::find_if(replicas.begin(), replicas.end(), [rank](const auto &replica) { return replica.rank == rank; });
    m_rankLoad[rank] -= found->load;
    --m_used[rank];
    replicas.erase(found);
    divide(expert);
}

std::optional<int> LayerWork::spareOn(int rank) const
{
    std::optional<int> spare;
    double least = HUGE_VAL;
    for (std::size_t expert = 0; expert < m_replicas.size(); ++expert) {
        for (const auto &replica : m_replicas[expert]) {
            if (replica.rank == rank && m_replicas[expert].size() > 1 && replica.load < least) {
                least = replica.load;
                spare = static_cast<int>(expert);
            }
        }
    }
    return spare;
}

bool LayerWork::holds(int expert, int rank) const
{
    return std::any_of(m_replicas[expert].begin(), m_replicas[expert].end(),
                       [rank](const auto &replica) { return replica.rank == rank; });
}

bool LayerWork::hasRoom(int rank) const
{
    return m_used[rank] < m_problem->slots[rank];
}

std::vector<int> LayerWork::heaviestOn(int rank) const
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

const std::vector<LayerWork::Replica> &LayerWork::replicasOf(int expert) const
{
    return m_replicas[expert];
}

double LayerWork::timeOf(int rank) const
{
    return m_rankLoad[rank] * m_problem->slowness[rank];
}

double LayerWork::slowest() const
{
    double slowest = 0;
    for (std::size_t rank = 0; rank < m_rankLoad.size(); ++rank) {
        slowest = std::max(slowest, timeOf(static_cast<int>(rank)));
    }
    return slowest;
}

std::vector<int> LayerWork::ranksBySlowness() const
{
    std::vector<int> ranks;
    for (std::size_t rank = 0; rank < m_rankLoad.size(); ++rank) {
        if (m_problem->slots[rank] > 0) {
            ranks.push_back(static_cast<int>(rank));
        }
    }
    std::stable_sort(ranks.begin(), ranks.end(), [this](int left, int right) { return timeOf(left) > timeOf(right); });
    return ranks;
}

LayerPlacement LayerWork::placement() const
{
    LayerPlacement placement;
    for (std::size_t expert = 0; expert < m_replicas.size(); ++expert) {
        auto replicas = m_replicas[expert];
        std::sort(replicas.begin(), replicas.end(), [](const auto &a, const auto &b) { return a.rank < b.rank; });
        const double total = m_problem->load[expert];
        int left = ExpertSlot::WholeShare;
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            const double part = total > 0 ? replicas[i].load / total : 1.0 / static_cast<double>(replicas.size());
            const int rounded = static_cast<int>(std::lround(part * ExpertSlot::WholeShare));
            const int share = i + 1 == replicas.size() ? left : std::min(left, rounded);
            left -= share;
            placement.push_back({.expert = static_cast<std::uint16_t>(expert),
                                 .rank = static_cast<std::uint16_t>(replicas[i].rank),
                                 .share = static_cast<std::uint16_t>(share)});
        }
    }
    return placement;
}

void LayerWork::divide(int expert)
{
    auto &replicas = m_replicas[expert];
    for (auto &replica : replicas) {
        m_rankLoad[replica.rank] -= replica.load;
    }
    std::sort(replicas.begin(), replicas.end(),
              [this](const auto &a, const auto &b) { return timeOf(a.rank) < timeOf(b.rank); });
    // The first k replicas are filled up to one level, the least k for which the next is no lower than that level.
    double speed = 0;
    double work = m_problem->load[expert];
    double level = 0;
    for (std::size_t filled = 0; filled < replicas.size(); ++filled) {
        const int rank = replicas[filled].rank;
        speed += 1 / m_problem->slowness[rank];
        work += m_rankLoad[rank];
        level = work / speed;
        if (filled + 1 < replicas.size() && timeOf(replicas[filled + 1].rank) >= level) {
            break;
        }
    }
    for (auto &replica : replicas) {
        const double room = level / m_problem->slowness[replica.rank] - m_rankLoad[replica.rank];
        replica.load = std::max(0.0, room);
        m_rankLoad[replica.rank] += replica.load;
    }
}

} // namespace Heatherridge
