#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <memory>
#include <set>

namespace Heatherridge
{

/**
 * An immutable snapshot of the agreed configuration, as used by the traffic threads.
 *
 * The control thread publishes a new snapshot after each record. A request uses one snapshot from start to end.
 */
struct ConfigView
{
    LogOffset offset{}; ///< offset of the last record applied
    Digest digest{}; ///< digest of the whole state at that offset
    bool confirmed = false; ///< whether the log itself has confirmed since process start that no record is missing
    std::shared_ptr<const Inventory> inventory = std::make_shared<Inventory>();
    std::shared_ptr<const RuleSet> rules = std::make_shared<RuleSet>();
    std::set<TargetName>
        leaving{}; ///< targets on hosts that the platform's list marks as leaving; not part of the digest

    /** Returns whether @p target, which must be listed in the inventory, may receive new work: it is not withdrawn, has
     * no planned stop, and its host is not leaving. */
    bool acceptsNewWork(const Target &target) const
    {
        return !target.withdrawn && !rules->hasPlannedStop(target.name) && !leaving.contains(target.name);
    }
};

} // namespace Heatherridge
