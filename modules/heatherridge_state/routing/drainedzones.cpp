#include "heatherridge_state/routing/drainedzones.h"

#include <utility>

namespace Heatherridge
{

bool DrainedZones::apply(const ZoneDrain &order)
{
    m_missing.erase(order.zone);
    return order.isInForce ? m_zones.insert(order.zone).second : m_zones.erase(order.zone) > 0;
}

bool DrainedZones::replaceAll(const std::set<ZoneName> &zones, SteadyTime now)
{
    const auto before = std::exchange(m_zones, zones);
    m_missing.clear();
    if (m_restoredAt && now - *m_restoredAt < RestoreGrace) {
        for (const auto &zone : before) {
            if (m_zones.insert(zone).second) {
                m_missing.insert(zone);
            }
        }
    }
    return m_zones != before;
}

void DrainedZones::noteRegisterRestored(SteadyTime now)
{
    m_restoredAt = now;
}

bool DrainedZones::tick(SteadyTime now)
{
    if (m_missing.empty() || !m_restoredAt || now - *m_restoredAt < RestoreGrace) {
        return false;
    }
    for (const auto &zone : std::exchange(m_missing, {})) {
        m_zones.erase(zone);
    }
    return true;
}

const std::set<ZoneName> &DrainedZones::zones() const
{
    return m_zones;
}

} // namespace Heatherridge
