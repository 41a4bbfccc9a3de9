#include "heatherridge_state/decisions/runningestimate.h"

namespace Heatherridge
{

void RunningEstimate::record(Milliseconds sample)
{
    if (!m_mean) {
        m_mean = sample;
        return;
    }
    *m_mean += (sample - *m_mean) * Gain;
}

std::optional<RunningEstimate::Milliseconds> RunningEstimate::mean() const
{
    return m_mean;
}

} // namespace Heatherridge
