#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/healthtracker.h"

#include <cstddef>
#include <optional>
#include <span>

namespace Heatherridge
{

/** State of one target when a request is placed. */
struct DirectCandidate
{
    double load = 0; ///< requests of all entries, @see LoadEstimate
    int slots = 1; ///< number of requests that it runs concurrently
    bool isInOwnZone = false; ///< in the same availability zone as the entry
    bool isCold = false; ///< slow because it has just started
    bool wasTried = false; ///< the request has failed or been refused there
    bool isHeldBack = false; ///< accepts nothing at present by its own statements, @see TargetAdmission
    Health health = Health::Healthy;
};

/**
 * Returns the least loaded target, with a random choice among near-equals. A target in another zone must be less loaded
 * by OtherZonePenalty.
 *
 * Load pattern: steady requests of similar cost over equal targets, from entries that do not see each other's requests.
 *
 * @returns the index of the target, or nothing if no target is usable
 */
std::optional<std::size_t> placeDirectly(std::span<const DirectCandidate> candidates, RandomSource &random);

/**
 * Number of requests by which a target in another zone must be less loaded. Less than one, so that no queue builds up
 * only to stay in the zone.
 */
constexpr double OtherZonePenalty = 0.6;
/** Fraction of its slots that a cold target counts as occupied. */
constexpr double ColdSlotShare = 0.5;

} // namespace Heatherridge
