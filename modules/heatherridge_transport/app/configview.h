#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <memory>
#include <set>

namespace Heatherridge
{

/**
 * What traffic threads see of the agreed configuration: one immutable moment of it.
 *
 * The control thread publishes a new one after each record; a request uses one from its begin to its end.
 */
struct ConfigView
{
    LogOffset offset{}; ///< folded up to here
    Digest digest{}; ///< of the whole state at that offset
    bool confirmed = false; ///< whether the log itself has said, since this process started, that nothing is missing
    std::shared_ptr<const Inventory> inventory = std::make_shared<Inventory>();
    std::shared_ptr<const RuleSet> rules = std::make_shared<RuleSet>();
    std::set<TargetName> leaving{}; ///< targets whose hosts the platform's list marks as leaving; no part of the digest

    /** Whether @p target may be given new work: listed, not withdrawn, not about to stop, and its host not leaving. */
    bool acceptsNewWork(const Target &target) const
    {
        return !target.withdrawn && !rules->hasPlannedStop(target.name) && !leaving.contains(target.name);
    }
};

} // namespace Heatherridge
