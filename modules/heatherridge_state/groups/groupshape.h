#pragma once

#include <cstdint>
#include <vector>

namespace Heatherridge
{

/** Host and zone of a rank as indices; ranks with the same index share the host or zone. */
struct RankLocation
{
    int host = 0;
    int zone = 0;

    bool operator==(const RankLocation &) const = default;
};

/** Dimensions of one lock-step group, from the inventory and the model. Value type. */
struct GroupShape
{
    int layers = 0; ///< number of layers that have experts
    int experts = 0; ///< number of experts in each layer
    std::uint64_t expertBytes = 0; ///< size of the weights of one expert in one layer
    std::vector<int>
        slots{}; ///< by rank: number of experts per layer that fit into its memory; 0 for a rank that has left
    std::vector<RankLocation> locations{}; ///< by rank; empty when unknown

    /** Returns the number of ranks, including those without slots. */
    int ranks() const
    {
        return static_cast<int>(slots.size());
    }

    bool operator==(const GroupShape &) const = default;
};

} // namespace Heatherridge
