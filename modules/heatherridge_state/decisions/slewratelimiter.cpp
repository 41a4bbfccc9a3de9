#include "heatherridge_state/decisions/slewratelimiter.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

SlewRateLimiter::SlewRateLimiter(SlewRateOptions options, double weight)
    : m_options(options)
    , m_weight(weight)
{
}

double SlewRateLimiter::moveTowards(double targetWeight, SteadyTime now)
{
    const std::chrono::duration<double> elapsed = m_lastUpdate ? now - *m_lastUpdate : SteadyTime::duration::zero();
    m_lastUpdate = now;
    const double highest = m_weight * std::exp2(elapsed / m_options.doublingTime);
    const double lowest = m_weight * std::exp2(-(elapsed / m_options.halvingTime));
    m_weight = std::clamp(std::clamp(targetWeight, lowest, highest), m_options.minWeight, 1.0);
    return m_weight;
}

double SlewRateLimiter::weight() const
{
    return m_weight;
}

} // namespace Heatherridge
