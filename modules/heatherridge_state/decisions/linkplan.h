#pragma once

#include "heatherridge_state/config/inventory.h"

#include <cstdint>
#include <map>

namespace Heatherridge
{

/** Identifies the entry and limits the number of targets it keeps connections to. */
struct LinkPlanOptions
{
    std::uint64_t entryNumber = 0; ///< distributes entries over the targets; a hash of the entry's name is suitable
    /**
     * Number of engines of one kind (same service and models) to connect to. With 64, all engines of today's sites are
     * connected, and a decision has eight samples in each of seven zones; with 9 models on 4,800 replicas, 24 keep an
     * entry within its limits.
     */
    std::size_t targetsPerKind = 64;
};

/**
 * Selects the targets that an entry keeps connections to.
 *
 * Load pattern: many entries and many targets. Each connection was measured to cost the entry 20 kB and 0.012% of a
 * core, and the target one report per entry. An entry therefore connects to a subset of the engines of each kind,
 * chosen by SubsetSelection in each zone in proportion to the zone's size, so that engines in other zones remain when a
 * zone is lost. Instances of plain services are few, and each holds a part of their keys, so all of them are connected.
 * Ranks of a group other than the first take no requests and are skipped. Pure function.
 */
class LinkPlan
{
public:
    /**
     * Returns the gate endpoint of each selected target. The result depends only on the arguments, not on earlier
     * selections.
     */
    static std::map<TargetName, Endpoint> choose(const Inventory &inventory, const LinkPlanOptions &options);
};

} // namespace Heatherridge
