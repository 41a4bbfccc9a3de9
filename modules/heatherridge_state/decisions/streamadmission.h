#pragma once

#include "heatherridge_state/decisions/rankadmission.h"
#include "heatherridge_state/decisions/streamqueue.h"

#include <functional>
#include <vector>

namespace Heatherridge
{

/** When a waiting stream has its turn. */
enum class QueueClass {
    First, ///< before the streams of its service that are in order
    Assured, ///< first, also after a stream of its rank or a higher one has found no capacity
    InOrder,
};

/**
 * Returns the turn of @p stream where @p admission is in force. Streams of the highest rank that can be on time are
 * first; the assured part of the other ranks follows: in the order of ranks, the higher ones would use all capacity of
 * each pass before the assured part has its turn.
 */
QueueClass classifyByRank(const WaitingStream &stream, const RankAdmission &admission, SteadyTime now);

/**
 * Gives each of @p streams its turn to find capacity: first and assured ones, then the rest, both in the given order.
 * When a stream finds no capacity, those of its service with the same or a lower rank get none either, except for the
 * assured part; higher ones may.
 *
 * @param classify returns the turn of a stream; called again after each attempt
 * @param attempt tries to send a stream and returns whether it has left the queue
 */
void admitInOrder(const std::vector<WaitingStream> &streams,
                  const std::function<QueueClass(const WaitingStream &)> &classify,
                  const std::function<bool(const WaitingStream &)> &attempt);

} // namespace Heatherridge
