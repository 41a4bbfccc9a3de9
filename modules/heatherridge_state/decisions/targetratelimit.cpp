#include "heatherridge_state/decisions/targetratelimit.h"

#include <algorithm>

namespace Heatherridge
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void TargetLimit::named(std::optional<double> requestsPerSecond, double part, SteadyTime now, RandomSource &random)
{
    const bool isNew = requestsPerSecond && !m_requestsPerSecond;
    m_requestsPerSecond = requestsPerSecond;
    if (isNew) {
        m_lastSent = now - duration_cast<milliseconds>(interval(part) * random.fraction());
    }
}

std::optional<double> TargetLimit::requestsPerSecond() const
{
    return m_requestsPerSecond;
}

milliseconds TargetLimit::wait(double part, SteadyTime now) const
{
    if (!m_requestsPerSecond) {
        return milliseconds(0);
    }
    return std::max(milliseconds(0), duration_cast<milliseconds>(m_lastSent + interval(part) - now));
}

void TargetLimit::sent(SteadyTime now)
{
    m_lastSent = now;
}

milliseconds TargetLimit::interval(double part) const
{
    const double perSecond = *m_requestsPerSecond * part;
    const bool isTooSeldom = perSecond * std::chrono::duration<double>(TrialPeriod).count() <= 1;
    return isTooSeldom ? TrialPeriod : duration_cast<milliseconds>(std::chrono::duration<double>(1 / perSecond));
}

} // namespace Heatherridge
