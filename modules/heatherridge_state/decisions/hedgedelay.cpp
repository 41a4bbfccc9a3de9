#include "heatherridge_state/decisions/hedgedelay.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

constexpr double Lowest = 100; // microseconds
constexpr double Step = 1.2;

} // namespace

void HedgeDelay::record(std::chrono::microseconds latency)
{
    const double ratio = std::max(1.0, static_cast<double>(latency.count()) / Lowest);
    const auto bucket = std::min(static_cast<std::size_t>(std::log(ratio) / std::log(Step)), Buckets - 1);
    m_counts[bucket] += 1;
    m_total += 1;
    if (m_total >= 2 * HalfLife) {
        std::for_each(m_counts.begin(), m_counts.end(), [](double &count) { count /= 2; });
        m_total /= 2;
    }
}

std::optional<std::chrono::microseconds> HedgeDelay::delay() const
{
    if (m_total < FewestSamples) {
        return std::nullopt;
    }
    double below = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < Buckets && below + m_counts[bucket] < Percentile * m_total) {
        below += m_counts[bucket];
        ++bucket;
    }
    return std::chrono::microseconds(static_cast<long long>(Lowest * std::pow(Step, static_cast<double>(bucket + 1))));
}

} // namespace Heatherridge
