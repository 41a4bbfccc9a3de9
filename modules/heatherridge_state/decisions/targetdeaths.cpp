#include "heatherridge_state/decisions/targetdeaths.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

constexpr std::size_t EvictedFraction = 8; ///< one in so many is evicted at a time, so that evictions are rare

/** Compares times of another process, which may be any numbers, without overflow. */
bool isWithin(std::chrono::milliseconds a, std::chrono::milliseconds b, std::chrono::milliseconds gap)
{
    return std::abs(static_cast<double>(a.count()) - static_cast<double>(b.count())) < static_cast<double>(gap.count());
}

} // namespace

TargetDeaths::TargetDeaths(Incarnation self, Options options)
    : m_self(self)
    , m_options(options)
{
}

TargetDeathPointer TargetDeaths::record(const Report &report, SteadyTime now)
{
    auto &deaths = m_deaths[report.target];
    auto unreported = deaths.begin(); // the first death after the last one that this gateway reported
    for (auto death = deaths.begin(); death != deaths.end(); ++death) {
        const auto found = (*death)->reportedAt.find(report.reporter);
        if (found == (*death)->reportedAt.end()) {
            continue;
        }
        if (isWithin(found->second, report.reportedAt, m_options.sameDeathGap)) {
            return *death;
        }
        unreported = death + 1;
    }
    // A report of this gateway is not late; those of others may have waited for the log.
    const auto maxAge = report.reporter == m_self ? m_options.sameDeathGap : m_options.sameDeathArrival;
    const auto same =
        std::find_if(unreported, deaths.end(), [&](const auto &death) { return now - death->time < maxAge; });
    if (same != deaths.end()) {
        (*same)->reportedAt.emplace(report.reporter, report.reportedAt);
        return *same;
    }
    auto death =
        std::make_shared<TargetDeath>(TargetDeath{.time = now, .reportedAt = {{report.reporter, report.reportedAt}}});
    deaths.push_back(death);
    if (++m_count > m_options.maxDeaths) {
        evict(std::max(now - m_options.retention, timeOfSurplus()));
    }
    return death;
}

std::size_t TargetDeaths::countBetween(SteadyTime from, SteadyTime to) const
{
    std::size_t count = 0;
    for (const auto &[target, deaths] : m_deaths) {
        count += Heatherridge::countBetween(deaths, from, to);
    }
    return count;
}

void TargetDeaths::evict(SteadyTime oldest)
{
    m_count = 0;
    for (auto &[target, deaths] : m_deaths) {
        std::erase_if(deaths, [&](const auto &death) { return death->time < oldest; });
        m_count += deaths.size();
    }
    std::erase_if(m_deaths, [](const auto &entry) { return entry.second.empty(); });
}

SteadyTime TargetDeaths::timeOfSurplus() const
{
    std::vector<SteadyTime> times;
    for (const auto &[target, deaths] : m_deaths) {
        std::transform(deaths.begin(), deaths.end(), std::back_inserter(times),
                       [](const auto &death) { return death->time; });
    }
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(m_count / EvictedFraction);
    std::nth_element(times.begin(), last, times.end());
    return *last;
}

std::size_t countBetween(const TargetDeathList &deaths, SteadyTime from, SteadyTime to)
{
    return static_cast<std::size_t>(std::count_if(
        deaths.begin(), deaths.end(), [&](const auto &death) { return from <= death->time && death->time <= to; }));
}

} // namespace Heatherridge
