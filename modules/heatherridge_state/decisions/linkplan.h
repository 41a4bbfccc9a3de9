#pragma once

#include "heatherridge_state/config/inventory.h"

#include <cstdint>
#include <map>

namespace Heatherridge
{

/** Which entry asks, and how many targets it keeps connections to. */
struct LinkPlanOptions
{
    std::uint64_t entryNumber = 0; ///< spreads entries over the targets; the hash of the entry's name will do
    /** Engines of one kind (service and models alike). At 64 all of today's are linked, and a decision has eight
     * samples in each of seven zones; at the size of 9 models before 4,800 replicas 24 keep an entry within its limits.
     */
    std::size_t targetsPerKind = 64;
};

/**
 * The targets that an entry keeps connections to.
 *
 * Load pattern: many entries before many targets. Connections to all cost each entry 20 kB and 0.012% of a core a
 * target, measured, and each target a report to every entry. So an entry takes a part of the engines of each kind, by
 * SubsetSelection, zone by zone in proportion, so that a lost zone leaves it with the others. Instances of plain
 * services are few, and each holds a part of their keys: all of them are linked. Ranks of a group other than the first
 * take no requests and are left out. Pure function.
 */
class LinkPlan
{
public:
    /** Gates by target. The same for the same arguments, whatever was chosen before. */
    static std::map<TargetName, Endpoint> choose(const Inventory &inventory, const LinkPlanOptions &options);
};

} // namespace Heatherridge
