#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace Heatherridge
{

/**
 * When a second copy of an idempotent lookup is sent because the first is late: at a measured percentile.
 *
 * Load pattern: single slow answers among many fast ones. A fixed delay is either never reached or, when the whole
 * service slows down, reached by every request, which doubles the load. The percentile rises with the service, so that
 * about one in twenty is hedged; each hedge also takes a retry out of the RetryBudget. The first answer wins and the
 * other copy is cancelled. Counts lie in buckets a fifth apart and are halved every HalfLife samples, so that an hour
 * ago does not count. Value type, one thread.
 */
class HedgeDelay
{
public:
    /** Beyond the 95th percentile a second copy costs at most 5% and cuts the tail; lower costs more for less. */
    static constexpr double Percentile = 0.95;
    /** Below this many samples nothing is hedged. */
    static constexpr double MinSamples = 50;

    /** Takes in the time to the first byte of one lookup. */
    void record(std::chrono::microseconds latency);

    /** How long after the first copy the second may be sent; nothing while too little is known. */
    std::optional<std::chrono::microseconds> delay() const;

private:
    static constexpr std::size_t BucketCount = 96; ///< 100 us * 1.2^96 is about an hour
    static constexpr double HalfLifeSamples = 1000;

    std::array<double, BucketCount> m_counts{};
    double m_total = 0;
};

} // namespace Heatherridge
