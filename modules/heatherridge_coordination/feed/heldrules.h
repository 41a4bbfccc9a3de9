#pragma once

#include "heatherridge_coordination/feed/newestdrains.h"

namespace Heatherridge
{

/**
 * The newest version of the rules, and the drained zones, that gateways have passed to an exchange point. Soft state:
 * gateways pass them again after a restart. Single-threaded.
 */
class HeldRules
{
public:
    /** Takes what is newer from @p request, and returns what its sender lacks or is asked for. */
    RulesResponse exchange(const RulesRequest &request, SteadyTime now);

private:
    std::optional<RulesRecord> m_newest;
    NewestDrains m_drains;
};

} // namespace Heatherridge
