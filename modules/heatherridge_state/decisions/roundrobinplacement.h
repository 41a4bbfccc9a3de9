#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/targetview.h"

#include <optional>
#include <span>

namespace Heatherridge
{

/**
 * Each usable target in turn.
 *
 * Load pattern: equal requests at equal targets. It sees neither load nor speed, so a slow target collects work until
 * it refuses. Kept for plain services with short calls and as a baseline. One thread; remembers the last turn.
 */
class RoundRobinPlacement
{
public:
    /** The index to send to, or nothing when no target is usable. */
    std::optional<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random);

private:
    std::size_t m_next = 0;
};

} // namespace Heatherridge
