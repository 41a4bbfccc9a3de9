#include "heatherridge_state/decisions/overloadguard.h"

namespace Heatherridge
{

OverloadGuard::OverloadGuard(OverloadGuardOptions options)
    : m_options(options)
{
}

void OverloadGuard::record(std::chrono::milliseconds delay, SteadyTime now)
{
    if (delay <= m_options.goodDelay) {
        m_lateSince.reset();
        m_late = 0;
        return;
    }
    if (!m_lateSince) {
        m_lateSince = now;
    }
    m_lastLate = now;
    ++m_late;
}

bool OverloadGuard::isOverloaded(SteadyTime now)
{
    if (m_isOverloaded) {
        m_isOverloaded = now - m_lastLate < m_options.calm;
    } else {
        const bool stands = m_lateSince && now - *m_lateSince >= m_options.interval;
        m_isOverloaded = stands && m_late >= m_options.fewestLate && now - m_lastLate < m_options.calm;
    }
    return m_isOverloaded;
}

} // namespace Heatherridge
