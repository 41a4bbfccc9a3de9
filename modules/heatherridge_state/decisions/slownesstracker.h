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
 * How slow each target is beside its peers: its time between tokens (or time of a plain call) over their median.
 *
 * Load pattern: a group held back by one straggler rank, a throttled accelerator, a busy neighbour. The target still
 * answers, so health checks pass, but each request placed there is late. The ratio is bounded, smoothed over about
 * 20 answers and followed at a SlewRateLimiter, so that one long answer does not shift load and a recovery does not
 * bring all work back at once. Targets are numbered by the owner. One thread.
 */
class SlownessTracker
{
public:
    /** Takes in one measurement of @p target. */
    void record(std::size_t target, std::chrono::microseconds timePerUnit, SteadyTime now);

    /** The ratio for @p target, from 1 (as fast as its peers, or unknown) to MostRatio. */
    double slowness(std::size_t target) const;

    /** Forgets @p target: it was restarted. */
    void reset(std::size_t target);

    /** Beyond it a target is as good as out of use; HealthTracker ejects it sooner. */
    static constexpr double MaxSlowness = 8;

private:
    struct State
    {
        double smoothedTime = 0; ///< smoothed microseconds a unit; 0 while unknown
        SlewRateLimiter relativeSpeed{};
        double slowness = 1;
    };

    void refreshMedian(SteadyTime now);

    std::vector<State> m_states;
    double m_median = 0;
    std::optional<SteadyTime> m_medianAt;
};

} // namespace Heatherridge
