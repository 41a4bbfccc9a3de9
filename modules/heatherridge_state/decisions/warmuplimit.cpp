#include "heatherridge_state/decisions/warmuplimit.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

using std::chrono::milliseconds;

namespace
{

/** Heartbeats from the first one that was read until one that was surely written after the read began. */
constexpr std::uint64_t HeartbeatsOfDoubt = 2;

} // namespace

bool WarmUpLimit::begin(milliseconds remaining, SteadyTime now)
{
    const bool isNew = remaining.count() > 0 && !isWarmingUp(now);
    m_endsAt = std::max(m_endsAt, now + std::min<milliseconds>(remaining, MaxWarmUp));
    return isNew;
}

void WarmUpLimit::expectRestart()
{
    m_awaitsRestart = true;
    m_firstRevision.reset();
}

bool WarmUpLimit::recordHeartbeat(std::uint64_t revision)
{
    if (!m_awaitsRestart) {
        return false;
    }
    m_firstRevision = std::min(m_firstRevision.value_or(revision), revision);
    m_awaitsRestart = revision - *m_firstRevision < HeartbeatsOfDoubt;
    return !m_awaitsRestart;
}

bool WarmUpLimit::awaitsRestart() const
{
    return m_awaitsRestart;
}

void WarmUpLimit::recordAnswer(milliseconds duration, SteadyTime now)
{
    if (std::exchange(m_awaitsRestart, false)) {
        begin(duration, now);
    }
}

bool WarmUpLimit::isWarmingUp(SteadyTime now) const
{
    return m_awaitsRestart || now < m_endsAt;
}

milliseconds WarmUpLimit::timeUntilAllowed(int maxRequests, SteadyTime now) const
{
    if (!isWarmingUp(now)) {
        return milliseconds(0);
    }
    if (maxRequests <= 0) {
        // Without a known end, the entry checks again after the next window.
        return m_awaitsRestart ? Window : std::chrono::ceil<milliseconds>(m_endsAt - now);
    }
    const auto limit = static_cast<std::size_t>(maxRequests);
    if (m_sendTimes.size() < limit) {
        return milliseconds(0);
    }
    const auto oldestThatCounts = m_sendTimes[m_sendTimes.size() - limit];
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(oldestThatCounts + Window - now));
}

void WarmUpLimit::recordSent(SteadyTime now)
{
    while (!m_sendTimes.empty() && m_sendTimes.front() + Window <= now) {
        m_sendTimes.pop_front();
    }
    m_sendTimes.push_back(now);
}

} // namespace Heatherridge
