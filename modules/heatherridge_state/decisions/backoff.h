#pragma once

#include "heatherridge_state/base/randomsource.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/** Limits of a Backoff. */
struct BackoffOptions
{
    std::chrono::milliseconds baseDelay{20}; ///< about ten round trips between zones
    std::chrono::milliseconds maxDelay{2000}; ///< after a longer delay a retry seldom meets the deadline
};

/**
 * Computes the delay before a retry: uniformly distributed between zero and baseDelay * 2^attempt, at most maxDelay
 * ("full jitter").
 *
 * Load pattern: many requests that fail at the same time. Without jitter they all return at the same time and fail
 * again; without exponential growth they return before the fault has passed. Stateless.
 */
class Backoff
{
public:
    explicit Backoff(BackoffOptions options = {});

    /**
     * Returns the delay before retry number @p retry (the first is 0).
     * @param retryAfter delay requested by the refusing side; the result is never shorter, and jitter is added on top
     */
    std::chrono::milliseconds delay(int retry, std::optional<std::chrono::milliseconds> retryAfter,
                                    RandomSource &random) const;

private:
    BackoffOptions m_options;
};

} // namespace Heatherridge
