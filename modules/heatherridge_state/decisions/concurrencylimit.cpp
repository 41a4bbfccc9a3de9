#include "heatherridge_state/decisions/concurrencylimit.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr double DecreasePerExcess = 0.1;
constexpr double MinDecreaseFactor = 0.5;
constexpr double GrowthPerWindow = 1.0 / 16;
/** From this fraction of the limit that was last late, the limit grows by only a hundredth per window. */
constexpr double NearCeiling = 0.9;
constexpr double GrowthNearCeiling = 0.01;
/**
 * The limit does not grow above this fraction of the acceptable latency; otherwise it would cross the bound every few
 * windows and be cut each time.
 */
constexpr double MaxExcessForGrowth = 0.9;
constexpr double SlowStartFactor = 2;
/** Fraction of the limit that must have been in use before the limit may grow. */
constexpr double MinUtilization = 0.75;
/** Fraction of the limit below which the latency counts as that of an idle target. */
constexpr double LightLoadUtilization = 0.25;
/** Multiple of the initial limit at which a target counts as warm even if it was never late. */
constexpr double WarmFactor = 4;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyOptions options)
    : m_options(options)
    , m_firstToken(options.acceptableFirstToken)
    , m_tokenGap(options.acceptableTokenGap)
    , m_limit(static_cast<double>(std::clamp(options.initialLimit, options.minLimit, options.maxLimit)))
{
}

void ConcurrencyLimit::recordFirstToken(SteadyTime started, std::size_t running, SteadyTime now)
{
    if (!m_loweredAt || started >= *m_loweredAt) {
        m_firstToken.record(std::chrono::duration_cast<std::chrono::microseconds>(now - started));
    }
    updateWindow(running, now);
}

void ConcurrencyLimit::recordTokenGap(std::chrono::microseconds gap, std::size_t running, SteadyTime now)
{
    if (running <= limit()) {
        m_tokenGap.record(gap);
    }
    updateWindow(running, now);
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
    return std::min(1.0, m_limit / (WarmFactor * static_cast<double>(m_options.initialLimit)));
}

void ConcurrencyLimit::updateWindow(std::size_t running, SteadyTime now)
{
    m_windowStart = m_windowStart.value_or(now);
    m_lastRunning = running;
    m_peakRunning = std::max(m_peakRunning, running);
    if (now - *m_windowStart >= m_options.window) {
        m_windowStart = now;
        closeWindow(now);
    }
}

void ConcurrencyLimit::closeWindow(SteadyTime now)
{
    const auto peak = static_cast<double>(m_peakRunning);
    const bool isLightLoad = limit() <= m_options.minLimit || peak <= LightLoadUtilization * m_limit;
    const auto firstToken = m_firstToken.closeWindow(isLightLoad);
    const auto tokenGap = m_tokenGap.closeWindow(isLightLoad);
    if (firstToken == LatencyVerdict::Unknown && tokenGap == LatencyVerdict::Unknown) {
        return; // too few samples: the window stays open
    }
    m_peakRunning = m_lastRunning;
    const double excess = std::max(firstToken == LatencyVerdict::Unknown ? 0 : m_firstToken.lastLatencyRatio(),
                                   tokenGap == LatencyVerdict::Unknown ? 0 : m_tokenGap.lastLatencyRatio());
    if (excess > 1) {
        m_ceiling = m_limit;
        m_limit *= std::max(MinDecreaseFactor, 1 - DecreasePerExcess * excess);
        m_slowStart = false;
        m_loweredAt = now;
    } else if (peak >= MinUtilization * m_limit && excess < MaxExcessForGrowth) {
        const bool isNearCeiling = m_ceiling > 0 && m_limit >= NearCeiling * m_ceiling;
        const double growth = m_slowStart ? SlowStartFactor - 1 : (isNearCeiling ? GrowthNearCeiling : GrowthPerWindow);
        m_limit += std::max(m_limit * growth, isNearCeiling ? 0 : 1.0);
        m_slowStart = m_slowStart && m_limit < WarmFactor * static_cast<double>(m_options.initialLimit);
    }
    m_limit = std::clamp(m_limit, static_cast<double>(m_options.minLimit), static_cast<double>(m_options.maxLimit));
}

} // namespace Heatherridge
