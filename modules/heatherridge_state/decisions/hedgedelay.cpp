#include "heatherridge_state/decisions/hedgedelay.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

constexpr double FirstBucketMicroseconds = 100; // lower bound of the first bucket, which also counts shorter latencies
constexpr double BucketRatio = 1.2;

} // namespace

void HedgeDelay::record(std::chrono::microseconds latency)
{
    const double ratio = std::max(1.0, static_cast<double>(latency.count()) / FirstBucketMicroseconds);
    const auto bucket = std::min(static_cast<std::size_t>(std::log(ratio) / std::log(BucketRatio)), BucketCount - 1);
    m_counts[bucket] += 1;
    m_total += 1;
    if (m_total >= 2 * HalfLifeSamples) {
        std::for_each(m_counts.begin(), m_counts.end(), [](double &count) { count /= 2; });
        m_total /= 2;
    }
}

std::optional<std::chrono::microseconds> HedgeDelay::delay() const
{
    if (m_total < MinSamples) {
        return std::nullopt;
    }
    double samplesBelow = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < BucketCount && samplesBelow + m_counts[bucket] < Percentile * m_total) {
        samplesBelow += m_counts[bucket];
        ++bucket;
    }
    return std::chrono::microseconds(
        static_cast<long long>(FirstBucketMicroseconds * std::pow(BucketRatio, static_cast<double>(bucket + 1))));
}

} // namespace Heatherridge
