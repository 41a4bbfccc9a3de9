#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * Returns the index of a usable target in @p targets, or nothing: starts at a random index and takes the first usable
 * target from there.
 */
std::optional<std::size_t> drawUsable(std::span<const TargetView> targets, RandomSource &random);

} // namespace Heatherridge
