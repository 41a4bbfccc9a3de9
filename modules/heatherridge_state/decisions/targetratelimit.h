#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/randomsource.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/**
 * This entry's share of the rate limit that a target sets for all entries together.
 *
 * Load pattern: an overloaded target sets a limit far below its arrival rate, and each of many entries sees only its
 * own requests. Each entry keeps to its share of the limit, which follows the distribution of work by the log, and
 * spaces its requests evenly; the shares of all entries add up to 1. The first request after a limit was set is sent at
 * a random time, since all entries learn of the limit at the same time. Single-threaded.
 */
class TargetRateLimit
{
public:
    /** An entry without a share sends one request per period, to find out whether the limit still applies. */
    static constexpr std::chrono::milliseconds ProbePeriod{60'000};

    /**
     * Applies the limit named in an answer of the target.
     * @param requestsPerSecond that the target accepts; nothing when it sets no limit
     * @param share of this entry, 0 to 1
     */
    void update(std::optional<double> requestsPerSecond, double share, SteadyTime now, RandomSource &random);

    /** Returns the limit that the target named last. */
    std::optional<double> requestsPerSecond() const;

    /** Returns the time until a request may be sent: 0 when it may be sent now or there is no limit. */
    std::chrono::milliseconds timeUntilAllowed(double share, SteadyTime now) const;

    /** Records that a request is sent. */
    void recordSent(SteadyTime now);

private:
    std::chrono::milliseconds sendInterval(double share) const;

    std::optional<double> m_requestsPerSecond;
    SteadyTime m_lastSent{}; ///< since the limit was set, or an assumed earlier time
};

} // namespace Heatherridge
