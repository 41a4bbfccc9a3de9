#include "heatherridge_state/decisions/loadestimate.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

void LoadEstimate::recordSent()
{
    ++m_ownRequests;
}

void LoadEstimate::recordEnded()
{
    m_ownRequests = std::max(0, m_ownRequests - 1);
}

void LoadEstimate::recordReport(int total, SteadyTime now)
{
    m_otherRequests = std::max(0, total - m_ownRequests);
    m_ownRequestsAtReport = m_ownRequests;
    m_reportedAt = now;
}

int LoadEstimate::ownRequests() const
{
    return m_ownRequests;
}

int LoadEstimate::ownRequestsAtReport() const
{
    return m_ownRequestsAtReport;
}

double LoadEstimate::freshness(SteadyTime now) const
{
    if (!m_reportedAt) {
        return 0;
    }
    const std::chrono::duration<double> age = now - *m_reportedAt;
    const std::chrono::duration<double> halfLife = HalfLife;
    return std::exp2(-age / halfLife);
}

double LoadEstimate::otherRequests() const
{
    return m_otherRequests;
}

double LoadEstimate::total(SteadyTime now, double typicalOthers) const
{
    const double currentFreshness = freshness(now);
    return m_ownRequests + m_otherRequests * currentFreshness + typicalOthers * (1 - currentFreshness);
}

} // namespace Heatherridge
