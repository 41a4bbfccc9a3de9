#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/directplacement.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace Heatherridge
{

/** State of one engine of an expert group when a stream is placed. */
struct EngineCandidate
{
    DirectCandidate target{}; ///< as for any target; its slots are the batch size of the engine
    std::size_t group = 0; ///< index of its group
    bool isOpen = true; ///< whether its group accepts work
    bool isRefusing = false; ///< whether it has just refused a request
    double slowdown = 1; ///< above 1, the factor by which it is slower than usual; its group waits for it in every pass
};

/** State of a group as a whole. */
struct EngineGroup
{
    bool isStalled = false; ///< one of its engines has open streams but is silent, so all of its engines are stalled
    bool hasHeadroom = true; ///< whether its passes stay short enough with one more stream, @see maxStreamsPerPass()
    bool hasHeadroomForLate = true; ///< whether they would stay short enough even if demand jumped now; late streams
                                    ///< may use only this headroom
    double headroom = 1; ///< requests that it can take on time beyond its current ones; weight of the group among
                         ///< groups with headroom
    bool cannotBeOnTime = false; ///< whether none of its streams is on time, @see cannotBeOnTime()
};

/** How urgently a stream needs an engine. */
enum class Urgency {
    InProgress, ///< its caller has received a part of it
    OnTime, ///< it can still meet its time limit
    Late,
};

/**
 * Engines that are slower than the fastest engine of their group by this factor get streams only if there are no other
 * engines.
 */
constexpr double SlowEngineFactor = 1.5;

/** Parameters of placing a stream. */
struct PlacementRequest
{
    Urgency urgency = Urgency::OnTime;
    double share = 1; ///< this entry's share of all work, above 0 and up to 1
};

/** Result of placing a stream. */
struct EngineChoice
{
    std::optional<std::size_t> index{}; ///< of the engine; nothing if no engine accepts the stream
    bool isFull = false; ///< there are engines, but all are full
};

/**
 * Places a stream on an engine of an expert group.
 *
 * Load pattern: all ranks of a group start each pass together, so a slow rank or a long queue delays every stream of
 * its group, and a group with a dead rank refuses everything and looks idle.
 *
 * - The group is chosen first: groups that can serve a stream on time are drawn at random, weighted by their headroom,
 *   by that of their engines in the entry's own zone if these are enough and not more loaded than others.
 * - A late stream goes to a group in which no stream can be on time, or uses headroom that would remain in bad moments.
 * - A stream of which the caller has received a part goes to any engine with a free slot.
 * - Within a group the least loaded engine of a random sample is taken. The sample is smaller with more entries: all
 *   entries see the same statuses and would choose the same engines.
 */
EngineChoice placeStream(std::span<const EngineCandidate> engines, std::span<const EngineGroup> groups,
                         const PlacementRequest &request, RandomSource &random);

} // namespace Heatherridge
