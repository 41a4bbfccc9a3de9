#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * The target to which the prompt's beginning hashes (rendezvous hashing), whatever its load.
 *
 * Load pattern: many prefixes of equal demand. A hot prefix overloads its one target while others idle. Requests
 * without an affinity key go to a random target. Keeps no state.
 */
class HashPlacement
{
public:
    /** The index to send to, or nothing when no target is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random) const;
};

} // namespace Heatherridge
