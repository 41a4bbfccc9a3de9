#include "heatherridge_state/groups/hierarchicalplacement.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace Heatherridge
{

namespace
{

struct Part
{
    std::vector<int> ranks{};
    int slots = 0;
    std::vector<int> experts{};
    double load = 0;
};

/** Ranks with slots, grouped by @p key of their place. */
template<typename Key>
std::vector<Part> groupRanks(const LayerProblem &problem, const std::vector<int> &ranks, Key key)
{
    std::map<int, Part> parts;
    for (const int rank : ranks) {
        auto &part = parts[key(rank)];
        part.ranks.push_back(rank);
        part.slots += problem.slots[rank];
    }
    std::vector<Part> list;
    list.reserve(parts.size());
    for (auto &[place, part] : parts) {
        list.push_back(std::move(part));
    }
    return list;
}

/** Divides @p experts over @p parts: heaviest first, to the part with least load a slot that has room. */
bool divideExperts(const LayerProblem &problem, std::vector<int> experts, std::vector<Part> &parts)
{
    std::stable_sort(experts.begin(), experts.end(),
                     [&](int left, int right) { return problem.load[left] > problem.load[right]; });
    for (const int expert : experts) {
        Part *best = nullptr;
        const auto loadWith = [&](const Part &part) { return (part.load + problem.load[expert]) / part.slots; };
        for (auto &part : parts) {
            const bool room = static_cast<int>(part.experts.size()) < part.slots;
            if (room && (best == nullptr || loadWith(part) < loadWith(*best))) {
                best = &part;
            }
        }
        if (best == nullptr) {
            return false;
        }
        best->experts.push_back(expert);
        best->load += problem.load[expert];
    }
    return true;
}

} // namespace

std::optional<LayerPlacement> hierarchicalPlacement(const LayerProblem &problem, const std::vector<RankPlace> &places)
{
    const auto placeOf = [&](int rank) {
        return static_cast<std::size_t>(rank) < places.size() ? places[rank] : RankPlace{};
    };
    std::vector<int> ranks;
    for (std::size_t rank = 0; rank < problem.slots.size(); ++rank) {
        if (problem.slots[rank] > 0) {
            ranks.push_back(static_cast<int>(rank));
        }
    }
    std::vector<int> experts(problem.load.size());
    std::iota(experts.begin(), experts.end(), 0);
    auto zones = groupRanks(problem, ranks, [&](int rank) { return placeOf(rank).zone; });
    if (!divideExperts(problem, experts, zones)) {
        return std::nullopt;
    }
    std::vector<std::pair<int, int>> placed;
    for (const auto &zone : zones) {
        auto hosts = groupRanks(problem, zone.ranks, [&](int rank) { return placeOf(rank).host; });
        if (!divideExperts(problem, zone.experts, hosts)) {
            return std::nullopt;
        }
        for (const auto &host : hosts) {
            const auto items = replicateHottest(problem, host.experts, host.slots, static_cast<int>(host.ranks.size()));
            if (!packLongestFirst(problem, host.ranks, items, placed)) {
                return std::nullopt;
            }
        }
    }
    return evenlySplit(std::move(placed));
}

} // namespace Heatherridge
