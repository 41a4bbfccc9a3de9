#include "heatherridge_state/groups/replicatedplacement.h"

#include <algorithm>
#include <numeric>

namespace Heatherridge
{

std::vector<PackItem> replicateHottest(const LayerProblem &problem, const std::vector<int> &experts, int slots,
                                       int maxReplicas)
{
    std::vector<int> replicas(experts.size(), 1);
    const auto loadPerReplica = [&](std::size_t i) { return problem.load[experts[i]] / replicas[i]; };
    for (int spareSlots = slots - static_cast<int>(experts.size()); spareSlots > 0; --spareSlots) {
        std::optional<std::size_t> hottest;
        for (std::size_t i = 0; i < experts.size(); ++i) {
            if (replicas[i] < maxReplicas && (!hottest || loadPerReplica(i) > loadPerReplica(*hottest))) {
                hottest = i;
            }
        }
        if (!hottest) {
            break;
        }
        ++replicas[*hottest];
    }
    std::vector<PackItem> items;
    for (std::size_t i = 0; i < experts.size(); ++i) {
        for (int replica = 0; replica < replicas[i]; ++replica) {
            items.push_back({.expert = experts[i], .load = loadPerReplica(i)});
        }
    }
    return items;
}

std::optional<LayerPlacement> replicatedPlacement(const LayerProblem &problem)
{
    std::vector<int> experts(problem.load.size());
    std::iota(experts.begin(), experts.end(), 0);
    std::vector<int> ranks;
    for (std::size_t rank = 0; rank < problem.slots.size(); ++rank) {
        if (problem.slots[rank] > 0) {
            ranks.push_back(static_cast<int>(rank));
        }
    }
    const int slots = std::accumulate(problem.slots.begin(), problem.slots.end(), 0);
    std::vector<std::pair<int, int>> placed;
    const auto items = replicateHottest(problem, experts, slots, static_cast<int>(ranks.size()));
    if (!packLongestFirst(problem, ranks, items, placed)) {
        return std::nullopt;
    }
    return withEvenShares(std::move(placed));
}

} // namespace Heatherridge
