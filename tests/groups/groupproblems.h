#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/groups/popularityestimator.h"
#include "heatherridge_state/groups/rebalancepolicy.h"

#include <cmath>

namespace Heatherridge
{

/** Returns the shape of a group of @p ranks identical ranks. */
inline GroupShape uniformShape(int layers, int experts, int ranks, int slots)
{
    return {.layers = layers,
            .experts = experts,
            .expertBytes = 1000,
            .slots = std::vector<int>(static_cast<std::size_t>(ranks), slots),
            .locations = {}};
}

/** Returns random loads whose hottest experts have several times the mean load; with @p spread 0 all are equal. */
inline GroupProblem randomProblem(const GroupShape &shape, RandomSource &random, double spread)
{
    GroupProblem problem{.shape = shape, .layers = {}};
    for (int layer = 0; layer < shape.layers; ++layer) {
        LayerProblem layerProblem{
            .load = {}, .slowness = std::vector<double>(shape.slots.size(), 1), .slots = shape.slots};
        for (int expert = 0; expert < shape.experts; ++expert) {
            layerProblem.load.push_back(
                std::exp(spread * (random.fraction() + random.fraction() + random.fraction() - 1.5)));
        }
        problem.layers.push_back(std::move(layerProblem));
    }
    return problem;
}

/** Returns the reports that ranks would send for one window: the tokens for the loads of @p problem under @p map, with
 * noise. */
inline std::vector<RankReport> simulateReports(const GroupProblem &problem, const ExpertMap &map, std::uint64_t window,
                                               double tokensPerLayer, RandomSource &random)
{
    std::vector<RankReport> reports;
    for (int rank = 0; rank < problem.shape.ranks(); ++rank) {
        RankReport report{.rank = rank, .window = window, .map = map.number()};
        double busyMicroseconds = 0;
        for (std::size_t layer = 0; layer < map.layers().size(); ++layer) {
            double total = 0;
            for (const double load : problem.layers[layer].load) {
                total += load;
            }
            for (const auto &slot : map.layers()[layer]) {
                if (slot.rank != rank) {
                    continue;
                }
                const double mean = problem.layers[layer].load[slot.expert] / total * tokensPerLayer * slot.share
                    / ExpertSlot::WholeShare;
                const double noise =
                    std::sqrt(mean) * 2 * (random.fraction() + random.fraction() + random.fraction() - 1.5);
                const double tokens = std::max(0.0, std::round(mean + noise));
                report.tokens.push_back(static_cast<std::uint32_t>(tokens));
                busyMicroseconds += tokens * problem.layers[layer].slowness[rank];
            }
        }
        report.busyTime = std::chrono::microseconds(static_cast<std::int64_t>(busyMicroseconds * 10));
        reports.push_back(std::move(report));
    }
    return reports;
}

/** Returns an initial map for @p problem. */
inline ExpertMap initialMap(const GroupProblem &problem)
{
    auto layers = std::get<std::vector<LayerPlacement>>(improvePlacement(problem, {}, {}));
    return std::get<ExpertMap>(ExpertMap::create(MapNumber{1}, problem.shape, std::move(layers)));
}

} // namespace Heatherridge
