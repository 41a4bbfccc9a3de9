#include "heatherridge_state/demand/decayingrate.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

void DecayingRate::record(SteadyTime now)
{
    m_perSecond = perSecond(now) + 1 / TimeConstant.count();
    m_updatedAt = std::max(m_updatedAt, now);
}

double DecayingRate::perSecond(SteadyTime now) const
{
    if (m_perSecond == 0 || now <= m_updatedAt) {
        return m_perSecond;
    }
    return m_perSecond * std::exp(-(now - m_updatedAt) / TimeConstant);
}

} // namespace Heatherridge
