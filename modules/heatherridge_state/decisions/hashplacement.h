#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * Sends each request to the target that the beginning of its prompt hashes to (rendezvous hashing), regardless of load.
 *
 * Load pattern: many prefixes of equal demand. A hot prefix overloads its one target while others idle. Requests
 * without an affinity key go to a random target. Stateless.
 */
class HashPlacement
{
public:
    /** Returns the index of the chosen target, or nothing when no target is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random) const;
};

} // namespace Heatherridge
