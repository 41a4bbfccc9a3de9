#include "heatherridge_state/decisions/latencybaseline.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Share by which the baseline follows a window of little load upwards: a new model is learnt in about 10 windows. */
constexpr double RiseShare = 0.2;

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

LatencyVerdict LatencyBaseline::closeWindow(bool littleLoad)
{
    if (m_samples < FewestSamples) {
        return LatencyVerdict::Unknown;
    }
    const double mean = m_sum / m_samples;
    m_sum = 0;
    m_samples = 0;
    if (!m_baseline || mean < *m_baseline) {
        m_baseline = mean;
    } else if (littleLoad) {
        *m_baseline += (mean - *m_baseline) * RiseShare;
    }
    m_lastExcess = mean / std::max(static_cast<double>(m_acceptable.count()), Tolerance * *m_baseline);
    return m_lastExcess > 1 ? LatencyVerdict::Late : LatencyVerdict::Good;
}

double LatencyBaseline::lastExcess() const
{
    return m_lastExcess;
}

void LatencyBaseline::reset()
{
    *this = LatencyBaseline(m_acceptable);
}

} // namespace Heatherridge
