#pragma once

#include "heatherridge_state/base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Heatherridge
{

/**
 * Limits the rate of log lines per event, so that a burst of one event neither uses up the processor nor hides the
 * other events.
 *
 * Load pattern: during an outage every request is refused for seconds. At the limit of 200 lines per second and event,
 * a gateway with a fifth of a core spends less than 2 in 100 of it on logging. Not thread-safe: callers must serialise
 * access.
 */
class LogRateLimiter
{
public:
    /** Maximum lines of one event per second; a busy gateway writes about 40. */
    static constexpr std::uint64_t LinesPerSecond = 200;

    /** Whether to write a line, and what to report before it. */
    struct Decision
    {
        bool shouldWrite = true;
        std::uint64_t suppressedLines = 0; ///< lines of this event dropped in its last second; report this count first
    };

    /** Decides whether one line of @p event may be written at @p now, and counts it. */
    Decision admit(std::string_view event, SteadyTime now);

private:
    struct Window
    {
        std::int64_t second = 0;
        std::uint64_t lines = 0;
        std::uint64_t suppressedLines = 0;
    };

    std::map<std::string, Window, std::less<>> m_windows;
};

} // namespace Heatherridge
