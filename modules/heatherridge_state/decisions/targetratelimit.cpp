#include "heatherridge_state/decisions/targetratelimit.h"

#include <algorithm>

namespace Heatherridge
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void TargetRateLimit::update(std::optional<double> requestsPerSecond, double share, SteadyTime now,
                             RandomSource &random)
{
    const bool isNew = requestsPerSecond && !m_requestsPerSecond;
    m_requestsPerSecond = requestsPerSecond;
    if (isNew) {
        m_lastSent = now - duration_cast<milliseconds>(sendInterval(share) * random.fraction());
    }
}

std::optional<double> TargetRateLimit::requestsPerSecond() const
{
    return m_requestsPerSecond;
}

milliseconds TargetRateLimit::timeUntilAllowed(double share, SteadyTime now) const
{
    if (!m_requestsPerSecond) {
        return milliseconds(0);
    }
    return std::max(milliseconds(0), duration_cast<milliseconds>(m_lastSent + sendInterval(share) - now));
}

void TargetRateLimit::recordSent(SteadyTime now)
{
    m_lastSent = now;
}

milliseconds TargetRateLimit::sendInterval(double share) const
{
    const double perSecond = *m_requestsPerSecond * share;
    const bool isBelowProbeRate = perSecond * std::chrono::duration<double>(ProbePeriod).count() <= 1;
    return isBelowProbeRate ? ProbePeriod : duration_cast<milliseconds>(std::chrono::duration<double>(1 / perSecond));
}

} // namespace Heatherridge
