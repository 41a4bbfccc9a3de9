#include "heatherridge_state/decisions/startretry.h"

namespace Heatherridge
{

StartRetry::StartRetry(StartRetryOptions options)
    : m_options(options)
{
}

std::optional<std::chrono::milliseconds> StartRetry::delayAfterFailure(SteadyTime now)
{
    if (!m_firstFailure) {
        m_firstFailure = now;
    }
    if (now + m_options.delay > *m_firstFailure + m_options.patience) {
        return std::nullopt;
    }
    return m_options.delay;
}

} // namespace Heatherridge
