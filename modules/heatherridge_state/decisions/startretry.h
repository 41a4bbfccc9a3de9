#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/** How long a process attempts to start. */
struct StartRetryOptions
{
    std::chrono::milliseconds patience{}; ///< after the first failure; no attempt begins later
    std::chrono::milliseconds delay{100}; ///< between two attempts
};

/**
 * Decides whether a process whose start has failed attempts it again.
 *
 * Load pattern: a process is replaced, or many are started at once. The one before still holds the port until its grace
 * period ends, or the settings file is still being written. An exit would cost another start by the platform, which
 * counts exits.
 */
class StartRetry
{
public:
    explicit StartRetry(StartRetryOptions options);

    /** Called when an attempt has failed. @returns the delay before the next one; empty if the process gives up */
    std::optional<std::chrono::milliseconds> delayAfterFailure(SteadyTime now);

private:
    StartRetryOptions m_options;
    std::optional<SteadyTime> m_firstFailure;
};

} // namespace Heatherridge
