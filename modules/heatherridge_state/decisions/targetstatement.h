#pragma once

#include <chrono>
#include <optional>
#include <variant>

namespace Heatherridge
{

/** The rate of requests that the target accepts from all entries together. */
struct RateLimitStatement
{
    std::optional<double> requestsPerSecond{}; ///< finite and not negative; nothing if the target sets no limit
};

/** The target wants no requests from this entry for some time. */
struct BackoffStatement
{
    std::chrono::milliseconds duration{0};
};

/** The target is shutting down: it finishes what it has and wants no new requests. */
struct DrainingStatement
{
};

/** The target has just started, or has lost its caches: it accepts the warm-up rate of its service for some time. */
struct WarmUpStatement
{
    std::chrono::milliseconds remaining{0}; ///< 0 if it is warm
};

/** What a target states in an answer about the requests that it accepts. */
using TargetStatement = std::variant<RateLimitStatement, BackoffStatement, DrainingStatement, WarmUpStatement>;

} // namespace Heatherridge
