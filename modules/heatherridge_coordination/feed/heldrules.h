#pragma once

#include "heatherridge_protocol/rulesmessage.h"

namespace Heatherridge
{

/**
 * The newest version of the rules that gateways have passed to an exchange point. Soft state: gateways pass it again
 * after a restart. Single-threaded.
 */
class HeldRules
{
public:
    /** Takes a newer record from @p request, and returns what its sender lacks or is asked for. */
    RulesResponse exchange(const RulesRequest &request);

private:
    std::optional<RulesRecord> m_newest;
};

} // namespace Heatherridge
