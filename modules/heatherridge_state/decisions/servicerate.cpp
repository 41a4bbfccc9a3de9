#include "heatherridge_state/decisions/servicerate.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr double MaxMicroseconds = 1e13; // keeps the conversion to an integer defined

std::chrono::microseconds toMicroseconds(double microseconds)
{
    return std::chrono::microseconds(static_cast<long long>(std::clamp(microseconds, 0.0, MaxMicroseconds)));
}

} // namespace

void ServiceRate::record(double cost, std::chrono::microseconds duration)
{
    const double units = std::max(cost, 1.0);
    const auto measured = static_cast<double>(std::max(duration, std::chrono::microseconds(1)).count());
    if (!isKnown()) {
        m_microsecondsPerUnit = measured / units;
        m_meanCost = units;
        return;
    }
    // Numerator and denominator are averaged separately, so that many short requests do not outweigh the few long ones.
    const double meanDuration = m_microsecondsPerUnit * m_meanCost * (1 - SmoothingFactor) + measured * SmoothingFactor;
    m_meanCost = m_meanCost * (1 - SmoothingFactor) + units * SmoothingFactor;
    m_microsecondsPerUnit = meanDuration / m_meanCost;
}

bool ServiceRate::isKnown() const
{
    return m_microsecondsPerUnit > 0;
}

std::chrono::microseconds ServiceRate::durationOf(double cost) const
{
    return toMicroseconds(m_microsecondsPerUnit * cost);
}

std::chrono::microseconds ServiceRate::drainTime(double cost, double slots) const
{
    return toMicroseconds(m_microsecondsPerUnit * cost / std::max(slots, 0.01));
}

double ServiceRate::meanCost() const
{
    return std::max(m_meanCost, 1.0);
}

} // namespace Heatherridge
