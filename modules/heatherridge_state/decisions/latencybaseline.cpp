#include "heatherridge_state/decisions/latencybaseline.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/**
 * Share of the difference by which the baseline rises in a window of low load: it adapts to a new model in about 10
 * windows.
 */
constexpr double RiseGain = 0.2;

} // namespace

LatencyBaseline::LatencyBaseline(std::chrono::microseconds acceptable)
    : m_acceptable(acceptable)
{
}

void LatencyBaseline::record(std::chrono::microseconds latency)
{
    m_sum += static_cast<double>(latency.count());
    ++m_samples;
}

LatencyVerdict LatencyBaseline::closeWindow(bool isLowLoad)
{
    if (m_samples < MinSamples) {
        return LatencyVerdict::Unknown;
    }
    const double mean = m_sum / m_samples;
    m_sum = 0;
    m_samples = 0;
    if (!m_baseline || mean < *m_baseline) {
        m_baseline = mean;
    } else if (isLowLoad) {
        *m_baseline += (mean - *m_baseline) * RiseGain;
    }
    m_lastLatencyRatio = mean / std::max(static_cast<double>(m_acceptable.count()), MaxBaselineRatio * *m_baseline);
    return m_lastLatencyRatio > 1 ? LatencyVerdict::High : LatencyVerdict::Good;
}

double LatencyBaseline::lastLatencyRatio() const
{
    return m_lastLatencyRatio;
}

void LatencyBaseline::reset()
{
    *this = LatencyBaseline(m_acceptable);
}

} // namespace Heatherridge
