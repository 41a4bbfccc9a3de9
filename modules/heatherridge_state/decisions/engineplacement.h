#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/directplacement.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace Heatherridge
{

/** One engine of an expert group when a stream is placed. */
struct EngineCandidate
{
    DirectCandidate target{}; ///< as for any target; its slots are the engine's batch
    std::size_t group = 0; ///< index of its group
    bool isOpen = true; ///< its group works
    bool isRefusing = false; ///< it has just refused a request
    double slowdown = 1; ///< over 1: it takes so many times as long as usual; its group waits for it in every pass
};

/** What is known of a group as a whole. */
struct EngineGroup
{
    bool isStalled = false; ///< one of its engines has open streams and says nothing: so do they all
    bool hasHeadroom = true; ///< its passes stay short enough with one stream more, @see streamsPerPass()
    bool hasHeadroomForLate = true; ///< they would even if demand jumped now; what is late takes no room but that
    double headroom = 1; ///< requests that it can take on time beyond those that it has; weighs groups with room
    bool cannotBeOnTime = false; ///< none of its streams is on time, @see cannotBeOnTime()
};

/** How much a stream needs an engine. */
enum class Urgency {
    InProgress, ///< its caller has a part of it
    OnTime, ///< it can still be on time
    Late,
};

/** Engines that take so many times as long as the quickest of their group get streams only when there are no others. */
constexpr double SlowEngineFactor = 1.5;

/** What is asked for when a stream is placed. */
struct PlacementRequest
{
    Urgency urgency = Urgency::OnTime;
    double share = 1; ///< of this entry in all work, over 0 up to 1
};

/** What came of placing a stream. */
struct EngineChoice
{
    std::optional<std::size_t> index{}; ///< of the engine; nothing when none takes it
    bool isFull = false; ///< engines there are, but all are full
};

/**
 * Places a stream on an engine of an expert group.
 *
 * Load pattern: all ranks of a group begin each pass together, so a slow rank or a long queue delays every stream of
 * its group, and a group with a dead rank refuses everything and looks idle.
 *
 * - Groups come first: those that can take a stream on time are drawn by the room that they have left.
 * - A stream that is late goes to a group in which nothing can be on time, or to room that bad moments would leave.
 * - A stream whose caller has a part of it goes to any engine with a place.
 * - Within a group the least loaded of some engines drawn at random is taken, fewer with more entries: all entries see
 *   the same statuses and would choose the same engines.
 */
EngineChoice placeStream(std::span<const EngineCandidate> engines, std::span<const EngineGroup> groups,
                         const PlacementRequest &request, RandomSource &random);

} // namespace Heatherridge
