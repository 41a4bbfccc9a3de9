#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * Chooses the usable targets in turn.
 *
 * Load pattern: equal requests at equal targets. It considers neither load nor speed, so a slow target accumulates work
 * until it refuses. Kept for plain services with short calls and as a baseline for comparison. Single-threaded; stores
 * the next index.
 */
class RoundRobinPlacement
{
public:
    /** Returns the index of the chosen target, or nothing when no target is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random);

private:
    std::size_t m_next = 0;
};

} // namespace Heatherridge
