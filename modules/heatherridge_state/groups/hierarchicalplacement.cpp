#include "heatherridge_state/groups/hierarchicalplacement.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace Heatherridge
{

namespace
{

struct Domain
{
    std::vector<int> ranks{};
    int slots = 0;
    std::vector<int> experts{};
    double load = 0;
};

/** Groups @p ranks into domains by the result of @p key. */
template<typename Key>
std::vector<Domain> partitionRanks(const LayerProblem &problem, const std::vector<int> &ranks, Key key)
{
    std::map<int, Domain> domains;
    for (const int rank : ranks) {
        auto &domain = domains[key(rank)];
        domain.ranks.push_back(rank);
        domain.slots += problem.slots[rank];
    }
    std::vector<Domain> list;
    list.reserve(domains.size());
    for (auto &[place, domain] : domains) {
        list.push_back(std::move(domain));
    }
    return list;
}

/** Distributes @p experts over @p domains: heaviest first, each to the domain with a free slot and the lowest load per
 * slot. Returns false if they do not fit. */
bool distributeExperts(const LayerProblem &problem, std::vector<int> experts, std::vector<Domain> &domains)
{
    std::stable_sort(experts.begin(), experts.end(),
                     [&](int left, int right) { return problem.load[left] > problem.load[right]; });
    for (const int expert : experts) {
        Domain *best = nullptr;
        const auto loadWith = [&](const Domain &domain) { return (domain.load + problem.load[expert]) / domain.slots; };
        for (auto &domain : domains) {
            const bool hasFreeSlot = static_cast<int>(domain.experts.size()) < domain.slots;
            if (hasFreeSlot && (best == nullptr || loadWith(domain) < loadWith(*best))) {
                best = &domain;
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

std::optional<LayerPlacement> hierarchicalPlacement(const LayerProblem &problem,
                                                    const std::vector<RankLocation> &locations)
{
    const auto locationOf = [&](int rank) {
        return static_cast<std::size_t>(rank) < locations.size() ? locations[rank] : RankLocation{};
    };
    std::vector<int> ranks;
    for (std::size_t rank = 0; rank < problem.slots.size(); ++rank) {
        if (problem.slots[rank] > 0) {
            ranks.push_back(static_cast<int>(rank));
        }
    }
    std::vector<int> experts(problem.load.size());
    std::iota(experts.begin(), experts.end(), 0);
    auto zones = partitionRanks(problem, ranks, [&](int rank) { return locationOf(rank).zone; });
    if (!distributeExperts(problem, experts, zones)) {
        return std::nullopt;
    }
    std::vector<std::pair<int, int>> placed;
    for (const auto &zone : zones) {
        auto hosts = partitionRanks(problem, zone.ranks, [&](int rank) { return locationOf(rank).host; });
        if (!distributeExperts(problem, zone.experts, hosts)) {
            return std::nullopt;
        }
        for (const auto &host : hosts) {
            const auto items = replicateHottest(problem, host.experts, host.slots, static_cast<int>(host.ranks.size()));
            if (!packLongestFirst(problem, host.ranks, items, placed)) {
                return std::nullopt;
            }
        }
    }
    return withEvenShares(std::move(placed));
}

} // namespace Heatherridge
