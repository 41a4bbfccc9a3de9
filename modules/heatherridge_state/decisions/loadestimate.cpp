#include "heatherridge_state/decisions/loadestimate.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

void LoadEstimate::sent()
{
    ++m_own;
}

void LoadEstimate::ended()
{
    m_own = std::max(0, m_own - 1);
}

void LoadEstimate::reported(int total, SteadyTime now)
{
    m_others = std::max(0, total - m_own);
    m_reportedAt = now;
}

int LoadEstimate::own() const
{
    return m_own;
}

double LoadEstimate::total(SteadyTime now) const
{
    if (!m_reportedAt) {
        return m_own;
    }
    const std::chrono::duration<double> age = now - *m_reportedAt;
    const std::chrono::duration<double> halfLife = HalfLife;
    return m_own + m_others * std::exp2(-age / halfLife);
}

} // namespace Heatherridge
