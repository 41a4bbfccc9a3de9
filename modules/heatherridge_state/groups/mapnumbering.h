#pragma once

#include "heatherridge_state/groups/expertmap.h"

#include <cstdint>

namespace Heatherridge
{

/** What a map that engines prepare is for. */
enum class MapPurpose {
    Switch, ///< to be armed
    Fence, ///< never armed; replaces a map that a late order might still arm
};

/**
 * The fields of a map number.
 *
 * An order to hold a pass and its release are known to an engine by the pass alone, and either may be executed seconds
 * after it was sent, when its sender is gone. Each switch must therefore hold a later pass than all switches before it,
 * also those of processes that nobody remembers. Engines keep the number of the map that they have prepared, so each
 * number tells which passes were and may be held; whoever prepares the next map reads it there.
 */
struct MapNumberFields
{
    std::uint64_t generation = 0; ///< engines refuse numbers below any that they have had
    MapPurpose purpose = MapPurpose::Switch;
    std::uint64_t usedSteps = 0; ///< this switch holds a pass after this one
    std::uint64_t spanSteps = 0; ///< and at most this many after it; at most MaxPassesAhead, rounded up to 8
};

/** How far ahead of the present pass a switch may hold one: passes further ahead cannot be told from past ones. */
inline constexpr std::uint64_t MaxPassesAhead = 240;

/** Returns the number with @p fields; numbers with equal fields are told apart by the lowest of @p randomBits. */
MapNumber makeMapNumber(const MapNumberFields &fields, std::uint64_t randomBits);

/** Returns the generation of @p number. */
std::uint64_t generationOf(MapNumber number);

/** Returns the latest pass that the switch with @p fields may hold. */
std::uint64_t lastStepToHold(const MapNumberFields &fields);

/** Passes ahead of the present one, as told by a map number; 0 where the group has begun them. */
struct HeldStepBounds
{
    std::uint64_t used = 0; ///< the latest pass that was held before the map was prepared
    std::uint64_t last = 0; ///< the latest pass that was or may be held, also by the switch to the map
};

/** Returns what @p number tells. @param step the last pass that the group had begun when the number was read */
HeldStepBounds heldStepBounds(MapNumber number, std::uint64_t step);

} // namespace Heatherridge
