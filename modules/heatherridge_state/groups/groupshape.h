#pragma once

#include <cstdint>
#include <vector>

namespace Heatherridge
{

/** Where a rank sits, as small numbers: ranks with the same number share the place. */
struct RankLocation
{
    int host = 0;
    int zone = 0;

    bool operator==(const RankLocation &) const = default;
};

/** The sizes of one lock-step group, from the inventory and the model. A value. */
struct GroupShape
{
    int layers = 0; ///< layers with experts
    int experts = 0; ///< experts in each layer
    std::uint64_t expertBytes = 0; ///< weights of one expert of one layer
    std::vector<int> slots{}; ///< by rank: experts a layer that fit into its memory; 0 for a rank that left
    std::vector<RankLocation> locations{}; ///< by rank; empty when unknown

    /** Ranks of the group, those without slots included. */
    int ranks() const
    {
        return static_cast<int>(slots.size());
    }

    bool operator==(const GroupShape &) const = default;
};

} // namespace Heatherridge
