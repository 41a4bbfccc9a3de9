#include "heatherridge_state/decisions/slewratelimiter.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

Pace::Pace(PaceOptions options, double weight)
    : m_options(options)
    , m_weight(weight)
{
}

double Pace::follow(double goal, SteadyTime now)
{
    const std::chrono::duration<double> passed = m_last ? now - *m_last : SteadyTime::duration::zero();
    m_last = now;
    const double highest = m_weight * std::exp2(passed / m_options.doubleIn);
    const double lowest = m_weight * std::exp2(-(passed / m_options.halveIn));
    m_weight = std::clamp(std::clamp(goal, lowest, highest), m_options.least, 1.0);
    return m_weight;
}

double Pace::weight() const
{
    return m_weight;
}

} // namespace Heatherridge
