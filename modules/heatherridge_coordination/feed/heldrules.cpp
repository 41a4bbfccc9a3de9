#include "heatherridge_coordination/feed/heldrules.h"

namespace Heatherridge
{

RulesResponse HeldRules::exchange(const RulesRequest &request, SteadyTime now)
{
    if (request.record && (!m_newest || request.record->version > m_newest->version)) {
        m_newest = request.record;
    }
    const auto held = m_newest ? m_newest->version : 0;
    RulesResponse response{.wantsRecord = request.version > held};
    if (held > request.version) {
        response.record = m_newest;
    }
    if (request.drains) {
        response.hasNewDrains = m_drains.take(*request.drains, now);
    } else {
        response.drains = m_drains.current(now);
    }
    return response;
}

} // namespace Heatherridge
