#include "heatherridge_state/groups/greedyplacement.h"

#include <algorithm>
#include <numeric>

namespace Heatherridge
{

bool packLongestFirst(const LayerProblem &problem, const std::vector<int> &ranks, std::vector<PackItem> items,
                      std::vector<std::pair<int, int>> &placed)
{
    std::stable_sort(items.begin(), items.end(), [](const auto &a, const auto &b) { return a.load > b.load; });
    std::vector<double> rankLoads(problem.slots.size(), 0);
    std::vector<int> usedSlots(problem.slots.size(), 0);
    std::vector<std::vector<int>> held(problem.slots.size());
    std::vector<bool> isPlaced(problem.load.size(), false);
    bool complete = true;
    for (const auto &item : items) {
        int fastestRank = -1;
        for (const int rank : ranks) {
            const bool holdsExpert = std::find(held[rank].begin(), held[rank].end(), item.expert) != held[rank].end();
            const auto timeWith = [&](int r) { return (rankLoads[r] + item.load) * problem.slowness[r]; };
            if (usedSlots[rank] < problem.slots[rank] && !holdsExpert
                && (fastestRank < 0 || timeWith(rank) < timeWith(fastestRank))) {
                fastestRank = rank;
            }
        }
        if (fastestRank < 0) {
            complete = complete && isPlaced[item.expert];
            continue;
        }
        rankLoads[fastestRank] += item.load;
        ++usedSlots[fastestRank];
        held[fastestRank].push_back(item.expert);
        isPlaced[item.expert] = true;
        placed.emplace_back(item.expert, fastestRank);
    }
    return complete;
}

LayerPlacement withEvenShares(std::vector<std::pair<int, int>> placed)
{
    std::sort(placed.begin(), placed.end());
    LayerPlacement placement;
    for (std::size_t begin = 0; begin < placed.size();) {
        std::size_t end = begin;
        while (end < placed.size() && placed[end].first == placed[begin].first) {
            ++end;
        }
        const int replicas = static_cast<int>(end - begin);
        for (std::size_t i = begin; i < end; ++i) {
            const int index = static_cast<int>(i - begin);
            const int share =
                ExpertSlot::WholeShare * (index + 1) / replicas - ExpertSlot::WholeShare * index / replicas;
            placement.push_back({.expert = static_cast<std::uint16_t>(placed[i].first),
                                 .rank = static_cast<std::uint16_t>(placed[i].second),
                                 .share = static_cast<std::uint16_t>(share)});
        }
        begin = end;
    }
    return placement;
}

std::optional<LayerPlacement> greedyPlacement(const LayerProblem &problem)
{
    std::vector<PackItem> items;
    for (std::size_t expert = 0; expert < problem.load.size(); ++expert) {
        items.push_back({.expert = static_cast<int>(expert), .load = problem.load[expert]});
    }
    std::vector<int> ranks(problem.slots.size());
    std::iota(ranks.begin(), ranks.end(), 0);
    std::vector<std::pair<int, int>> placed;
    if (!packLongestFirst(problem, ranks, items, placed)) {
        return std::nullopt;
    }
    return withEvenShares(std::move(placed));
}

} // namespace Heatherridge
