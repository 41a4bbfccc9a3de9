#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace Heatherridge
{

/** Which entry asks, and how large a subset is. */
struct SubsetOptions
{
    std::size_t entryIndex = 0; ///< this entry's number, 0 to entries - 1; two may share one, at some loss of balance
    std::size_t size = 64; ///< targets an entry keeps connections to; enough for 8 samples a decision and lost zones
    bool operator==(const SubsetOptions &) const = default;
};

/**
 * Which targets an entry sends to, when there are too many to send to all.
 *
 * Load pattern: 500 entries before 4,800 replicas would keep 2.4 million connections and as many reports a second. Each
 * entry takes a subset instead. Random subsets leave some targets with twice the entries of others; here every round of
 * n / size entries deals all n targets out without overlap, each round in another order, so that the numbers of entries
 * differ by one round's remainder only. The order is by hash, so that one target more or less changes at most two
 * members of a subset. Call once a zone to keep targets of each zone in every subset. Pure function.
 */
class SubsetSelection
{
public:
    /** Indices into @p targetKeys, ascending; all of them when there are not more than the size. */
    static std::vector<std::size_t> choose(std::span<const std::uint64_t> targetKeys, const SubsetOptions &options);
};

} // namespace Heatherridge
