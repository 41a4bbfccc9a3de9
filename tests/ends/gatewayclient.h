#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <atomic>
#include <random>

namespace Heatherridge
{

using Random = std::minstd_rand;

/** Returns a number from 0 on, below @p count. */
inline int draw(Random &random, int count)
{
    return static_cast<int>(random() % static_cast<unsigned>(count));
}

/** Uses one connection to @p gateway after the other, in ways that @p seed decides, until @p isOver. Counts responses
 * of status 200 in @p answered. */
void useGateway(const Endpoint &gateway, unsigned seed, const std::atomic<bool> &isOver, std::atomic<int> &answered);

} // namespace Heatherridge
