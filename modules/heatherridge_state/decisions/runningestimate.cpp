#include "heatherridge_state/decisions/runningestimate.h"

namespace Heatherridge
{

RunningEstimate::RunningEstimate(RunningEstimateOptions options)
    : m_options(options)
{
}

void RunningEstimate::record(Milliseconds sample)
{
    if (!m_mean) {
        m_mean = sample;
        m_deviation = sample / 2;
        return;
    }
    const auto distance = sample - *m_mean;
    m_deviation += (std::chrono::abs(distance) - m_deviation) * m_options.deviationGain;
    *m_mean += distance * m_options.meanGain;
}

std::optional<RunningEstimate::Milliseconds> RunningEstimate::mean() const
{
    return m_mean;
}

RunningEstimate::Milliseconds RunningEstimate::deviation() const
{
    return m_deviation;
}

} // namespace Heatherridge
