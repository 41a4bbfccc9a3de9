#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * Chooses the target with the fewest requests of this entry in flight; ties are broken at random.
 *
 * Load pattern: few entries and unequal targets. With many entries, each has too few requests in flight to see the load
 * that the others cause. Stateless.
 */
class LeastRequestsPlacement
{
public:
    /** Returns the index of the chosen target, or nothing when no target is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random) const;
};

} // namespace Heatherridge
