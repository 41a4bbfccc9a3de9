#include "heatherridge_state/decisions/backoff.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr int MaxDoublings = 20; // keeps the shift well defined

} // namespace

Backoff::Backoff(BackoffOptions options)
    : m_options(options)
{
}

std::chrono::milliseconds Backoff::delay(int retry, std::optional<std::chrono::milliseconds> retryAfter,
                                         RandomSource &random) const
{
    const auto ceiling = std::min(m_options.baseDelay * (1L << std::clamp(retry, 0, MaxDoublings)), m_options.maxDelay);
    const auto jitter = static_cast<long long>(random.below(static_cast<std::uint64_t>(ceiling.count()) + 1));
    return retryAfter.value_or(std::chrono::milliseconds(0)) + std::chrono::milliseconds(jitter);
}

} // namespace Heatherridge
