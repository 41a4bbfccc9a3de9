#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/** One usable target of @p targets drawn at random, or nothing: a random start, and the first usable one from there. */
std::optional<std::size_t> drawUsable(std::span<const TargetView> targets, RandomSource &random);

} // namespace Heatherridge
