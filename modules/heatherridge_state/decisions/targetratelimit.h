#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/randomsource.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/**
 * This entry's part of the requests that a target takes from all entries together.
 *
 * Load pattern: a target in need names a limit far below what it gets, and each of many entries sees only what it sends
 * itself. Each keeps to its part of the limit, as the log divides work, with requests spaced evenly; the parts of all
 * entries add up to 1. The first one after the limit was named is sent at a random time, since all entries hear of it
 * at once. One thread.
 */
class TargetRateLimit
{
public:
    /** An entry without a part sends one request in this time, to hear whether the limit still holds. */
    static constexpr std::chrono::milliseconds ProbePeriod{60'000};

    /**
     * The target has answered.
     * @param requestsPerSecond that it takes; nothing when it names no limit
     * @param part of this entry, 0 to 1
     */
    void update(std::optional<double> requestsPerSecond, double share, SteadyTime now, RandomSource &random);

    /** The limit as it was last named. */
    std::optional<double> requestsPerSecond() const;

    /** How long until a request may be sent: 0 for now, and where no limit is named. */
    std::chrono::milliseconds timeUntilAllowed(double share, SteadyTime now) const;

    /** A request is sent. */
    void recordSent(SteadyTime now);

private:
    std::chrono::milliseconds sendInterval(double share) const;

    std::optional<double> m_requestsPerSecond;
    SteadyTime m_lastSent{}; ///< since the limit was named, or a time before
};

} // namespace Heatherridge
