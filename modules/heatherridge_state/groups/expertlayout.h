#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Heatherridge
{

/** Experts of one set of layers, by the rank that holds them. The tokens of an expert are split evenly among the ranks
 * that hold it. */
using SetLayout = std::vector<std::vector<std::uint16_t>>;

/** Placement of the experts of a group, by set of layers. */
using ExpertLayout = std::vector<SetLayout>;

/** Selection frequency of the experts of one set, by expert, in any unit. */
using SetDemand = std::vector<double>;

/** By rank: factor by which its work takes longer than usual; empty when all ranks are healthy. */
using RankSlowness = std::vector<double>;

/** Returns the time that each rank takes for its experts of one set under @p layout. */
std::vector<double> rankTimes(const SetLayout &layout, const SetDemand &demand, const RankSlowness &slowness);

/** Returns the time of each rank for a set with @p demand if the work is distributed so that all ranks take equally
 * long. */
double balancedTime(std::size_t ranks, const SetDemand &demand, const RankSlowness &slowness);

/**
 * Returns the ratio of the time of the expert part of a pass to its time with all work distributed evenly over healthy
 * ranks. Each set takes as long as its slowest rank; sets are processed one after the other. 1 without any demand.
 */
double layoutSkew(const ExpertLayout &layout, const std::vector<SetDemand> &demand, const RankSlowness &slowness);

/** Returns the maximum over the ranks of the experts, over all sets, that a rank holds in @p to but not in @p from: the
 * experts that it has to copy. */
std::size_t maxCopiesOnAnyRank(const ExpertLayout &from, const ExpertLayout &to);

/** Returns whether every expert is on some rank, none is twice on one rank, and no rank holds more than
 * @p slotsPerRank. */
bool isValidLayout(const SetLayout &layout, std::size_t experts, std::size_t slotsPerRank);

/**
 * Returns a layout in which @p rank holds exactly @p fixedExperts of a set and the other experts are distributed over
 * the other ranks in any way. An order to prepare a map without copying anything on @p rank needs such a layout.
 */
SetLayout layoutWithFixedRank(int rank, const std::vector<std::uint16_t> &fixedExperts, int ranks, std::size_t experts);

} // namespace Heatherridge
