#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * The target with the fewest requests of this entry in flight; ties are broken at random.
 *
 * Load pattern: few entries, unequal targets. With many entries each has too few in flight to see the load of the
 * others. Keeps no state.
 */
class LeastRequestsPlacement
{
public:
    /** The index to send to, or nothing when no target is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random) const;
};

} // namespace Heatherridge
