#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/slewratelimiter.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Heatherridge
{

/**
 * Tracks the slowness of each target: its time between tokens (or the time of a plain call) over the median of all
 * targets.
 *
 * Load pattern: a group delayed by one straggler rank, a throttled accelerator, a noisy neighbour. The target still
 * answers, so health checks pass, but each request placed there is late. The ratio is bounded, smoothed over about 20
 * answers and applied through a SlewRateLimiter, so that one long answer does not shift load and a recovery does not
 * return all work at once. Targets are numbered by the owner. Single-threaded.
 */
class SlownessTracker
{
public:
    /** Records one measurement of @p target. */
    void record(std::size_t target, std::chrono::microseconds timePerUnit, SteadyTime now);

    /** Returns the ratio for @p target, from 1 (as fast as its peers, or unknown) to MaxSlowness. */
    double slowness(std::size_t target) const;

    /** Discards the measurements of @p target after a restart. */
    void reset(std::size_t target);

    /** A target this slow is as good as out of use; HealthTracker ejects it earlier. */
    static constexpr double MaxSlowness = 8;

private:
    struct State
    {
        double smoothedTime = 0; ///< smoothed microseconds per unit; 0 while unknown
        SlewRateLimiter relativeSpeed{};
        double slowness = 1;
    };

    void refreshMedian(SteadyTime now);

    std::vector<State> m_states;
    double m_median = 0;
    std::optional<SteadyTime> m_medianAt;
};

} // namespace Heatherridge
