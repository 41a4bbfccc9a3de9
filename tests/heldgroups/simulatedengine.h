#pragma once

#include "heatherridge_state/groups/rankvalues.h"

#include <cstdint>
#include <optional>

namespace Heatherridge
{

/** The maps and the hold of one simulated engine, with the rules by which engines accept orders. */
struct SimulatedEngine
{
    MapNumber map{};
    ExpertLayout layout{};
    MapNumber highestMap{};
    std::optional<MapNumber> prepared{};
    ExpertLayout preparedLayout{};
    std::optional<ArmMap> armed{};
    std::optional<std::uint64_t> heldStep{};

    /** Executes or refuses @p order. @param step the last pass that the group has begun */
    OrderReply apply(const RankOrder &order, std::uint64_t step);

    /** Begins pass @p step, with the map that is armed for it. */
    void beginPass(std::uint64_t step);
};

} // namespace Heatherridge
