#pragma once

#include "heatherridge_state/base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Heatherridge
{

/**
 * Bounds the lines of each event, so that a storm of one kind neither costs the processor nor hides the others.
 *
 * Load pattern: an outage refuses every request for seconds. At the bound of 200 lines a second and event a gateway
 * with a fifth of a core spends under 2 in 100 of it on lines. One thread at a time.
 */
class LogRateLimiter
{
public:
    /** Lines of one event in one second; a busy gateway writes some 40. */
    static constexpr std::uint64_t LinesPerSecond = 200;

    /** What is to be done with a line. */
    struct Decision
    {
        bool shouldWrite = true;
        std::uint64_t suppressedLines =
            0; ///< lines of this event that were not written in its last second; to be said first
    };

    /** Asks for one line of @p event. */
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
