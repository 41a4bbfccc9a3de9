#pragma once

#include "heatherridge_state/base/randomsource.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/** Bounds of a Backoff. */
struct BackoffOptions
{
    std::chrono::milliseconds baseDelay{20}; ///< about ten round trips between zones
    std::chrono::milliseconds maxDelay{2000}; ///< beyond it a retry seldom meets the deadline
};

/**
 * How long to wait before a retry: drawn evenly between nothing and base * 2^attempt ("full jitter").
 *
 * Load pattern: many requests that fail at one moment. Without jitter they all return at one moment and fail again;
 * without growth they return faster than the fault can pass. Keeps no state.
 */
class Backoff
{
public:
    explicit Backoff(BackoffOptions options = {});

    /**
     * The wait before retry number @p retry (the first is 0).
     * @param retryAfter the refusing side's wish; the wait is never shorter, and jitter is added on top
     */
    std::chrono::milliseconds delay(int retry, std::optional<std::chrono::milliseconds> retryAfter,
                                    RandomSource &random) const;

private:
    BackoffOptions m_options;
};

} // namespace Heatherridge
