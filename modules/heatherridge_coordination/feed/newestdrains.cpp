#include "heatherridge_coordination/feed/newestdrains.h"

#include <utility>

namespace Heatherridge
{

bool NewestDrains::take(const ZoneDrains &drains, SteadyTime now)
{
    if (isCurrent(now) && drains.position < m_newest->position) {
        return false;
    }
    const bool isNew = m_newest != drains;
    m_newest = drains;
    m_statedAt = now;
    return isNew;
}

void NewestDrains::replace(ZoneDrains drains, SteadyTime now)
{
    m_newest = std::move(drains);
    m_statedAt = now;
}

void NewestDrains::confirm(SteadyTime now)
{
    m_statedAt = now;
}

const std::optional<ZoneDrains> &NewestDrains::value() const
{
    return m_newest;
}

std::optional<ZoneDrains> NewestDrains::current(SteadyTime now) const
{
    return isCurrent(now) ? m_newest : std::nullopt;
}

bool NewestDrains::isCurrent(SteadyTime now) const
{
    return m_newest && now - m_statedAt <= Lifetime;
}

} // namespace Heatherridge
