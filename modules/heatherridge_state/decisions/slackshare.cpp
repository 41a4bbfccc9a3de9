#include "heatherridge_state/decisions/slackshare.h"

#include <algorithm>
#include <iterator>

namespace Heatherridge
{

SlackShare::SlackShare(SlackShareOptions options)
    : m_options(options)
    , m_periods{{.since = options.start}}
    , m_validUntil(SteadyTime::max())
{
}

void SlackShare::setWindow(std::chrono::seconds window)
{
    m_options.window = window;
}

void SlackShare::setPartitions(const OwnedPartitions &owned, SteadyTime now)
{
    if (owned.partitionCount <= 0) {
        return; // nothing has been confirmed yet
    }
    advance(now);
    m_validUntil = owned.validUntil;
    m_lease = owned.lease;
    const Period period{.since = now,
                        .fraction = static_cast<double>(owned.partitions.size()) / owned.partitionCount,
                        .isConfirmed = now < owned.validUntil};
    const auto &last = m_periods.back();
    if (period.fraction != last.fraction || period.isConfirmed != last.isConfirmed) {
        m_periods.push_back(period);
    }
}

double SlackShare::usableFraction(SteadyTime now)
{
    if (m_options.isSoleUser) {
        return HeldFraction;
    }
    const auto held = heldFraction(now);
    return HeldFraction * held + ReserveFraction * std::max(0.0, meanFraction(now) - held);
}

double SlackShare::heldFraction(SteadyTime now)
{
    advance(now);
    if (m_periods.front().since > windowStart(now)) {
        return 0;
    }
    double least = 1;
    for (const auto &period : m_periods) {
        least = std::min(least, period.isConfirmed ? period.fraction : 0);
    }
    return least;
}

bool SlackShare::isPastKnown(SteadyTime now) const
{
    return m_options.isSoleUser || m_options.start <= windowStart(now);
}

SteadyTime SlackShare::windowStart(SteadyTime now) const
{
    return now - m_options.window - m_lease;
}

void SlackShare::advance(SteadyTime now)
{
    if (m_periods.back().isConfirmed && now >= m_validUntil) {
        m_periods.push_back({.since = m_validUntil, .fraction = m_periods.back().fraction});
    }
    while (m_periods.size() > 1 && m_periods[1].since <= windowStart(now)) {
        m_periods.pop_front();
    }
}

double SlackShare::meanFraction(SteadyTime now) const
{
    const auto from = windowStart(now);
    double sum = 0;
    for (auto period = m_periods.begin(); period != m_periods.end(); ++period) {
        const auto next = std::next(period);
        const auto end = next == m_periods.end() ? now : next->since;
        sum += period->fraction * std::chrono::duration<double>(end - std::max(period->since, from)).count();
    }
    return sum / std::chrono::duration<double>(now - from).count();
}

} // namespace Heatherridge
