#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Heatherridge
{

/** The experts that each rank holds of one set of layers, by rank. An expert's tokens are shared evenly by its holders.
 */
using SetLayout = std::vector<std::vector<std::uint16_t>>;

/** Where the experts of a group lie, by set of layers. */
using ExpertLayout = std::vector<SetLayout>;

/** How often the experts of one set are chosen, by expert, in any unit. */
using SetDemand = std::vector<double>;

/** By rank: how many times as long as usual it takes for its work; empty when all are healthy. */
using RankSlowness = std::vector<double>;

/** Time that each rank takes for its experts of one set under @p layout. */
std::vector<double> rankTimes(const SetLayout &layout, const SetDemand &demand, const RankSlowness &slowness);

/** Time that each rank takes for a set of @p demand when the work is spread so that all take equally long. */
double balancedTime(std::size_t ranks, const SetDemand &demand, const RankSlowness &slowness);

/**
 * How much longer the expert part of a pass takes than with all work spread evenly over healthy ranks: the last rank's
 * time over the even one, the sets being done one after the other. 1 without any demand.
 */
double layoutSkew(const ExpertLayout &layout, const std::vector<SetDemand> &demand, const RankSlowness &slowness);

/** The most experts that any one rank, over all sets, holds in @p to and lacks in @p from: what it has to copy. */
std::size_t maxCopiesOnAnyRank(const ExpertLayout &from, const ExpertLayout &to);

/** Whether every expert has a holder, none twice on one rank, and no rank holds more than @p slotsPerRank. */
bool isValidLayout(const SetLayout &layout, std::size_t experts, std::size_t slotsPerRank);

/**
 * A layout in which @p rank holds just @p fixedExperts of a set and the others hold the rest somehow, as an order to
 * prepare without copying anything on that rank must say.
 */
SetLayout layoutWithFixedRank(int rank, const std::vector<std::uint16_t> &fixedExperts, int ranks, std::size_t experts);

} // namespace Heatherridge
