#include "heatherridge_state/decisions/concurrencylimit.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

constexpr double SlowestDecrease = 0.9;
constexpr double FastestDecrease = 0.5;
constexpr double Increase = 1.0 / 16;
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

void ConcurrencyLimit::record(const LatencySample &sample, std::size_t running, SteadyTime now)
{
    if (!m_windowStart) {
        m_windowStart = now;
    }
    m_first.record(sample.first);
    if (sample.between) {
        m_between.record(*sample.between);
    }
    m_peak = std::max(m_peak, running);
    if (now - *m_windowStart >= m_options.window) {
        m_windowStart = now;
        closeWindow();
    }
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

void ConcurrencyLimit::closeWindow()
{
    const auto peak = static_cast<double>(m_peak);
    const bool atFloor = limit() <= m_options.least;
    const bool littleLoad = atFloor || peak <= LittleLoad * m_limit;
    const auto first = m_first.closeWindow(littleLoad);
    const auto between = m_between.closeWindow(littleLoad);
    if (first == LatencyVerdict::Unknown) {
        return; // too few samples: the window stays open
    }
    m_peak = 0;
    if (std::exchange(m_ignoreNext, false)) {
        return;
    }
    if (first == LatencyVerdict::Late || between == LatencyVerdict::Late) {
        const double excess = std::max(m_first.lastExcess(), m_between.lastExcess());
        m_limit *= std::clamp(1 / excess, FastestDecrease, SlowestDecrease);
        m_slowStart = false;
        m_ignoreNext = true;
    } else if (peak >= InUse * m_limit) {
        m_limit += m_slowStart ? m_limit * (SlowStartFactor - 1) : std::max(1.0, m_limit * Increase);
        m_slowStart = m_slowStart && m_limit < WarmFactor * static_cast<double>(m_options.initial);
    }
    m_limit = std::clamp(m_limit, static_cast<double>(m_options.least), static_cast<double>(m_options.most));
}

} // namespace Heatherridge
