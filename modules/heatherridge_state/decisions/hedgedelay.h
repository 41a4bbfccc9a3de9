#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace Heatherridge
{

/**
 * Determines when to send a second copy of a slow idempotent lookup: after a measured percentile of the latency.
 *
 * Load pattern: single slow answers among many fast ones. A fixed delay is either never reached or, when the whole
 * service slows down, reached by every request, which doubles the load. The percentile rises with the service's
 * latency, so about one request in twenty is hedged; each hedge also consumes a retry of the RetryBudget. The first
 * answer is used and the other copy is cancelled. Latencies are counted in buckets whose bounds grow by a fifth, and
 * the counts are halved every HalfLifeSamples samples, so that latencies of an hour ago no longer matter. Value type,
 * single-threaded.
 */
class HedgeDelay
{
public:
    /**
     * Hedging beyond the 95th percentile costs at most 5% extra requests and shortens the tail; a lower percentile
     * costs more and gains less.
     */
    static constexpr double Percentile = 0.95;
    /** No request is hedged before this many samples are recorded. */
    static constexpr double MinSamples = 50;

    /** Records the time to first byte of one lookup. */
    void record(std::chrono::microseconds latency);

    /** Returns how long after the first copy the second may be sent; nothing while there are too few samples. */
    std::optional<std::chrono::microseconds> delay() const;

private:
    static constexpr std::size_t BucketCount = 96; ///< 100 us * 1.2^96 is about an hour
    static constexpr double HalfLifeSamples = 1000;

    std::array<double, BucketCount> m_counts{};
    double m_total = 0;
};

} // namespace Heatherridge
