#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * The less loaded of two targets drawn at random, by reported load and own requests.
 *
 * Load pattern: many entries with lagging reports: two draws avoid most of the herding. It ignores caches, so each
 * target computes each prefix. Keeps no state.
 */
class TwoChoicesPlacement
{
public:
    /** The index to send to, or nothing when no target is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random) const;
};

} // namespace Heatherridge
