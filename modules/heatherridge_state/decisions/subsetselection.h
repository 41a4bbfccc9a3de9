#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace Heatherridge
{

/** Identifies the entry and sets the size of its subset. */
struct SubsetOptions
{
    std::size_t entryIndex =
        0; ///< this entry's number, 0 to entries - 1; two entries may share a number at some loss of balance
    std::size_t size = 64; ///< targets an entry keeps connections to; enough for 8 samples per decision and lost zones
    bool operator==(const SubsetOptions &) const = default;
};

/**
 * Selects the targets that an entry sends to when there are too many to connect to all.
 *
 * Load pattern: 500 entries and 4,800 replicas would keep 2.4 million connections and as many reports per second. Each
 * entry uses a subset instead. Random subsets leave some targets with twice as many entries as others. Here, in every
 * round, n / size entries divide all n targets among themselves without overlap, each round in another order, so that
 * the numbers of entries per target differ by the remainder of one round only. The order is by hash, so that adding or
 * removing one target changes at most two members of a subset. Call it once per zone to keep targets of each zone in
 * every subset. Pure function.
 */
class SubsetSelection
{
public:
    /** Returns ascending indices into @p targetKeys; all of them when there are no more than SubsetOptions::size. */
    static std::vector<std::size_t> choose(std::span<const std::uint64_t> targetKeys, const SubsetOptions &options);
};

} // namespace Heatherridge
