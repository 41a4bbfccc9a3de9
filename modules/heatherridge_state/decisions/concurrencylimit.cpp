#include "heatherridge_state/decisions/concurrencylimit.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr double DecreasePerExcess = 0.1;
constexpr double FastestDecrease = 0.5;
constexpr double Increase = 1.0 / 16;
/** From here on the limit that was late last time is approached by a hundredth a window. */
constexpr double NearCeiling = 0.9;
constexpr double CarefulIncrease = 0.01;
/** No growth this near to late: else the limit would cross the line every few windows and be cut each time. */
constexpr double GrowBelow = 0.9;
constexpr double SlowStartFactor = 2;
/** Share of the limit that must have been in use before it may grow. */
constexpr double InUse = 0.75;
/** Share of the limit below which the latency counts as that of an idle target. */
constexpr double LittleLoad = 0.25;
/** Multiple of the initial limit at which a target counts as warm even if it was never late. */
constexpr double WarmFactor = 4;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyOptions options)
    : m_options(options)
    , m_first(options.acceptableFirst)
    , m_between(options.acceptableBetween)
    , m_limit(static_cast<double>(std::clamp(options.initial, options.least, options.most)))
{
}

void ConcurrencyLimit::recordFirst(SteadyTime started, std::size_t running, SteadyTime now)
{
    if (!m_cutAt || started >= *m_cutAt) {
        m_first.record(std::chrono::duration_cast<std::chrono::microseconds>(now - started));
    }
    notice(running, now);
}

void ConcurrencyLimit::recordBetween(std::chrono::microseconds gap, std::size_t running, SteadyTime now)
{
    if (running <= limit()) {
        m_between.record(gap);
    }
    notice(running, now);
}

void ConcurrencyLimit::restart()
{
    *this = ConcurrencyLimit(m_options);
}

std::size_t ConcurrencyLimit::limit() const
{
    return static_cast<std::size_t>(m_limit);
}

double ConcurrencyLimit::warmth() const
{
    if (!m_slowStart) {
        return 1;
    }
    return std::min(1.0, m_limit / (WarmFactor * static_cast<double>(m_options.initial)));
}

void ConcurrencyLimit::notice(std::size_t running, SteadyTime now)
{
    m_windowStart = m_windowStart.value_or(now);
    m_running = running;
    m_peak = std::max(m_peak, running);
    if (now - *m_windowStart >= m_options.window) {
        m_windowStart = now;
        closeWindow(now);
    }
}

void ConcurrencyLimit::closeWindow(SteadyTime now)
{
    const auto peak = static_cast<double>(m_peak);
    const bool littleLoad = limit() <= m_options.least || peak <= LittleLoad * m_limit;
    const auto first = m_first.closeWindow(littleLoad);
    const auto between = m_between.closeWindow(littleLoad);
    if (first == LatencyVerdict::Unknown && between == LatencyVerdict::Unknown) {
        return; // too few samples: the window stays open
    }
    m_peak = m_running;
    const double excess = std::max(first == LatencyVerdict::Unknown ? 0 : m_first.lastLatencyRatio(),
                                   between == LatencyVerdict::Unknown ? 0 : m_between.lastLatencyRatio());
    if (excess > 1) {
        m_ceiling = m_limit;
        m_limit *= std::max(FastestDecrease, 1 - DecreasePerExcess * excess);
        m_slowStart = false;
        m_cutAt = now;
    } else if (peak >= InUse * m_limit && excess < GrowBelow) {
        const bool nearCeiling = m_ceiling > 0 && m_limit >= NearCeiling * m_ceiling;
        const double share = m_slowStart ? SlowStartFactor - 1 : (nearCeiling ? CarefulIncrease : Increase);
        m_limit += std::max(m_limit * share, nearCeiling ? 0 : 1.0);
        m_slowStart = m_slowStart && m_limit < WarmFactor * static_cast<double>(m_options.initial);
    }
    m_limit = std::clamp(m_limit, static_cast<double>(m_options.least), static_cast<double>(m_options.most));
}

} // namespace Heatherridge
