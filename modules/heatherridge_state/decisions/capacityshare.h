#pragma once

#include "heatherridge_state/demand/fleetdemand.h"

#include <chrono>

namespace Heatherridge
{

/** Fraction of the capacity that stays divided evenly, so that a gateway with little demand can begin at once. */
constexpr double EvenCapacityPart = 0.25;
/** Arrivals within this time count as demand, beside the streams that wait: about ten passes. */
constexpr std::chrono::milliseconds ArrivalsCountedAsDemand{500};

/** What capacityShare() considers. */
struct CapacityShareInput
{
    const ServiceDemand &own; ///< of this gateway
    const ServiceDemand *others = nullptr; ///< of the other gateways as far as stated; null if unknown
    int statedGateways = 0; ///< whose demand is included in `others`
    int knownGateways = 0; ///< all but this one, according to the log's division of work
    double evenShare = 1; ///< of this gateway when all are treated alike
};

/** Returns the streams that wait, and those expected to arrive within ArrivalsCountedAsDemand. */
double capacityDemand(const ServiceDemand &demand);

/** Returns the number of gateways that the log's division of work knows but no statement covers. */
int unstatedGateways(int statedGateways, int knownGateways);

/**
 * Returns the share of the engines' capacity that one gateway may use.
 *
 * Load pattern: demand differs between gateways and between availability zones, whose peaks are 1 to 2 s apart. With
 * even shares some gateways hold streams back while others leave capacity unused.
 *
 * - EvenCapacityPart of the capacity is divided evenly, the rest in proportion to capacityDemand().
 * - Gateways without a statement count as average ones.
 * - While demand is unknown or zero everywhere, and for a single gateway, the share is the even share.
 *
 * Invariant: the shares of all gateways add up to at most 1 if all use the same statements and the even shares add up
 * to at most 1. If stated demand may have grown by a factor g since it was stated, the sum is at most
 * (1 - EvenCapacityPart) * g + EvenCapacityPart.
 */
double capacityShare(const CapacityShareInput &input);

} // namespace Heatherridge
