#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * Chooses the less loaded of two targets drawn at random, by reported load and this entry's own requests.
 *
 * Load pattern: many entries with delayed load reports, where two random draws avoid most of the herding. It ignores
 * caches, so each target computes each prefix. Stateless.
 */
class TwoChoicesPlacement
{
public:
    /** Returns the index of the chosen target, or nothing when no target is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random) const;
};

} // namespace Heatherridge
