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
    for (const auto &rankExperts : layout) {
        for (const auto expert : rankExperts) {
            if (expert < experts) {
                ++counts[expert];
            }
        }
    }
    return counts;
}

std::size_t countNewExperts(const std::vector<std::uint16_t> &from, const std::vector<std::uint16_t> &to)
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

double balancedTime(std::size_t ranks, const SetDemand &demand, const RankSlowness &slowness)
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
    double balanced = 0;
    for (std::size_t set = 0; set < layout.size(); ++set) {
        const auto times = rankTimes(layout[set], demand[set], slowness);
        slowest += *std::max_element(times.begin(), times.end());
        balanced += balancedTime(times.size(), demand[set], {});
    }
    return balanced > 0 ? slowest / balanced : 1;
}

std::size_t maxCopiesOnAnyRank(const ExpertLayout &from, const ExpertLayout &to)
{
    const auto ranks = to.empty() ? 0 : to.front().size();
    std::size_t maxCopies = 0;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        std::size_t copies = 0;
        for (std::size_t set = 0; set < to.size(); ++set) {
            copies += countNewExperts(from[set][rank], to[set][rank]);
        }
        maxCopies = std::max(maxCopies, copies);
    }
    return maxCopies;
}

bool isValidLayout(const SetLayout &layout, std::size_t experts, std::size_t slotsPerRank)
{
    for (auto rankExperts : layout) {
        std::sort(rankExperts.begin(), rankExperts.end());
        const bool hasDuplicate = std::adjacent_find(rankExperts.begin(), rankExperts.end()) != rankExperts.end();
        if (hasDuplicate || rankExperts.size() > slotsPerRank
            || (!rankExperts.empty() && rankExperts.back() >= experts)) {
            return false;
        }
    }
    const auto counts = holderCounts(layout, experts);
    return std::none_of(counts.begin(), counts.end(), [](int count) { return count == 0; });
}

SetLayout layoutWithFixedRank(int rank, const std::vector<std::uint16_t> &fixedExperts, int ranks, std::size_t experts)
{
    SetLayout layout(static_cast<std::size_t>(ranks));
    layout[static_cast<std::size_t>(rank)] = fixedExperts;
    int next = 0;
    for (std::size_t expert = 0; expert < experts && ranks > 1; ++expert) {
        if (std::find(fixedExperts.begin(), fixedExperts.end(), expert) != fixedExperts.end()) {
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
