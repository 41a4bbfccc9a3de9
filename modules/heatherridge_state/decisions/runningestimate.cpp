#include "heatherridge_state/decisions/runningestimate.h"

namespace Heatherridge
{

void RunningEstimate::record(Milliseconds sample)
{
    if (!m_mean) {
        m_mean = sample;
        return;
    }
    const auto distance = sample - *m_mean;
    *m_mean += distance * Gain;
    m_deviation += (std::chrono::abs(distance) - m_deviation) * Gain;
}

std::optional<RunningEstimate::Milliseconds> RunningEstimate::mean() const
{
    return m_mean;
}

std::optional<RunningEstimate::Milliseconds> RunningEstimate::high() const
{
    return m_mean ? std::optional(*m_mean + m_deviation * HighDeviations) : std::nullopt;
}

} // namespace Heatherridge
