#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/healthtracker.h"

#include <cstddef>
#include <optional>
#include <span>

namespace Heatherridge
{

/** What is known of one target when a request is placed. */
struct DirectCandidate
{
    double load = 0; ///< requests of all entries, @see LoadEstimate
    int slots = 1; ///< requests that it runs at once
    bool isInOwnZone = false; ///< in the entry's own availability zone
    bool isCold = false; ///< slow after its start
    bool wasTried = false; ///< the request has failed or been refused there
    bool isAtLimit = false; ///< gets nothing now, by the limit that it names
    Health health = Health::Healthy;
};

/**
 * The least loaded target, with a random draw among near-equals. A target in another zone has to be less loaded by
 * FarPenalty.
 *
 * Load pattern: steady requests of similar cost over equal targets, from entries that don't see each other's.
 *
 * @returns the index of the target, or nothing when there is no usable one
 */
std::optional<std::size_t> placeDirectly(std::span<const DirectCandidate> candidates, RandomSource &random);

/** Requests by which a far target must be less loaded: under one, so that a queue never forms for the zone's sake. */
constexpr double OtherZonePenalty = 0.6;
/** Parts of its slots that a cold target counts as taken. */
constexpr double ColdSlotShare = 0.5;

} // namespace Heatherridge
