#include "heatherridge_state/groups/expertlayout.h"

#include <algorithm>
#include <numeric>

namespace Heatherridge
{

namespace
{

std::vector<int> holderCounts(const SetLayout &layout, std::size_t experts)
{
    std::vector<int> counts(experts, 0);
    for (const auto &held : layout) {
        for (const auto expert : held) {
            if (expert < experts) {
                ++counts[expert];
            }
        }
    }
    return counts;
}

std::size_t newOn(const std::vector<std::uint16_t> &from, const std::vector<std::uint16_t> &to)
{
    return static_cast<std::size_t>(std::count_if(to.begin(), to.end(), [&from](auto expert) {
        return std::find(from.begin(), from.end(), expert) == from.end();
    }));
}

} // namespace

std::vector<double> rankTimes(const SetLayout &layout, const SetDemand &demand, const RankSlowness &slowness)
{
    const auto counts = holderCounts(layout, demand.size());
    std::vector<double> times(layout.size(), 0);
    for (std::size_t rank = 0; rank < layout.size(); ++rank) {
        for (const auto expert : layout[rank]) {
            times[rank] += demand[expert] / counts[expert];
        }
        times[rank] *= rank < slowness.size() ? slowness[rank] : 1;
    }
    return times;
}

double evenTime(std::size_t ranks, const SetDemand &demand, const RankSlowness &slowness)
{
    double speed = 0;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        speed += rank < slowness.size() ? 1 / slowness[rank] : 1;
    }
    return std::accumulate(demand.begin(), demand.end(), 0.0) / speed;
}

double layoutSkew(const ExpertLayout &layout, const std::vector<SetDemand> &demand, const RankSlowness &slowness)
{
    double slowest = 0;
    double even = 0;
    for (std::size_t set = 0; set < layout.size(); ++set) {
        const auto times = rankTimes(layout[set], demand[set], slowness);
        slowest += *std::max_element(times.begin(), times.end());
        even += evenTime(times.size(), demand[set], {});
    }
    return even > 0 ? slowest / even : 1;
}

std::size_t mostCopies(const ExpertLayout &from, const ExpertLayout &to)
{
    const auto ranks = to.empty() ? 0 : to.front().size();
    std::size_t most = 0;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        std::size_t copies = 0;
        for (std::size_t set = 0; set < to.size(); ++set) {
            copies += newOn(from[set][rank], to[set][rank]);
        }
        most = std::max(most, copies);
    }
    return most;
}

bool isComplete(const SetLayout &layout, std::size_t experts, std::size_t places)
{
    for (auto held : layout) {
        std::sort(held.begin(), held.end());
        const bool hasDouble = std::adjacent_find(held.begin(), held.end()) != held.end();
        if (hasDouble || held.size() > places || (!held.empty() && held.back() >= experts)) {
            return false;
        }
    }
    const auto counts = holderCounts(layout, experts);
    return std::none_of(counts.begin(), counts.end(), [](int count) { return count == 0; });
}

SetLayout layoutAround(int rank, const std::vector<std::uint16_t> &own, int ranks, std::size_t experts)
{
    SetLayout layout(static_cast<std::size_t>(ranks));
    layout[static_cast<std::size_t>(rank)] = own;
    int next = 0;
    for (std::size_t expert = 0; expert < experts && ranks > 1; ++expert) {
        if (std::find(own.begin(), own.end(), expert) != own.end()) {
            continue;
        }
        next = (next + 1) % ranks;
        if (next == rank) {
            next = (next + 1) % ranks;
        }
        layout[static_cast<std::size_t>(next)].push_back(static_cast<std::uint16_t>(expert));
    }
    return layout;
}

} // namespace Heatherridge
