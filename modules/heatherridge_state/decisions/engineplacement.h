#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/directplacement.h"

#include <chrono>
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
    bool refusesNow = false; ///< it has just refused a request
    double pace = 1; ///< over 1: it takes so many times as long as usual; its group waits for it in every pass
};

/** What is known of a group as a whole. */
struct EngineGroup
{
    std::chrono::duration<double, std::milli> passTime{}; ///< measured; 0 when unknown
    bool isStalled = false; ///< one of its engines has open streams and says nothing: so do they all
};

/** How engines work and what is owed to streams. */
struct EnginePlacementRules
{
    std::chrono::duration<double, std::milli> step{}; ///< one token step with nothing else
    std::chrono::duration<double, std::milli> stepPerRequest{}; ///< what each running request adds
    std::chrono::duration<double, std::milli>
        longestPass{}; ///< passes up to this keep a stream's pauses and first event
    /** Part of an engine's batch up to which first events come on time: none of 570 late up to 5 of 12 requests, 15 in
     * 100 at 6, 43 at 9, 90 at 10. */
    double onTimePart = 0.5;
    /** Part of its batch that an engine takes at all; what waits behind a full batch makes its neighbours late. */
    double mostPart = 1.0;
    /** Engines that take so many times as long get streams only when all others are full. A quarter of its prompts read
     * by a rank four times as slow made passes of its whole group three times as long. */
    double slowPace = 1.5;
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
 * Load pattern: all ranks of a group begin each pass together, so one slow rank or one long queue makes every stream of
 * its group late; and a group whose rank has died refuses everything at once, looks idle and attracts all work. So
 * groups come first. Engines whose passes, with this stream added, stay short enough for the promised pauses, and whose
 * load leaves first events on time, share the streams evenly. What is beyond that will be late wherever it goes, and is
 * kept together: it goes to the group whose passes are longest anyway, so that the other groups stay on time. Only when
 * that one is full do the others take more, and when all are full a stream is better told at once when to come back.
 * With the least loaded engine alone, a rank four times as slow made 70 in 100 streams of both its own and the other
 * group late.
 */
EngineChoice placeStream(std::span<const EngineCandidate> engines, std::span<const EngineGroup> groups,
                         const EnginePlacementRules &rules, RandomSource &random);

} // namespace Heatherridge
