#include "heatherridge_state/groups/greedyplacement.h"

#include <algorithm>
#include <numeric>

namespace Heatherridge
{

bool packLongestFirst(const LayerProblem &problem, const std::vector<int> &ranks, std::vector<PackItem> items,
                      std::vector<std::pair<int, int>> &placed)
{
    std::stable_sort(items.begin(), items.end(), [](const auto &a, const auto &b) { return a.load > b.load; });
    std::vector<double> load(problem.slots.size(), 0);
    std::vector<int> used(problem.slots.size(), 0);
    std::vector<std::vector<int>> on(problem.slots.size());
    std::vector<bool> has(problem.load.size(), false);
    bool complete = true;
    for (const auto &item : items) {
        int best = -1;
        for (const int rank : ranks) {
            const bool there = std::find(on[rank].begin(), on[rank].end(), item.expert) != on[rank].end();
            const auto timeWith = [&](int r) { return (load[r] + item.load) * problem.slowness[r]; };
            if (used[rank] < problem.slots[rank] && !there && (best < 0 || timeWith(rank) < timeWith(best))) {
                best = rank;
            }
        }
        if (best < 0) {
            complete = complete && has[item.expert];
            continue;
        }
        load[best] += item.load;
        ++used[best];
        on[best].push_back(item.expert);
        has[item.expert] = true;
        placed.emplace_back(item.expert, best);
    }
    return complete;
}

LayerPlacement evenlySplit(std::vector<std::pair<int, int>> placed)
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
    return evenlySplit(std::move(placed));
}

} // namespace Heatherridge
