#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/** Limits of a SlewRateLimiter. */
struct SlewRateOptions
{
    std::chrono::milliseconds halvingTime{
        500}; ///< fastest decrease: work must leave a failing target within one or two seconds
    std::chrono::milliseconds doublingTime{
        5000}; ///< fastest increase: slower than the delay of a report plus the reaction to it
    double minWeight = 0.05; ///< lower bound, from which the weight can rise again
};

/**
 * Limits how fast a target's weight follows what is reported about the target.
 *
 * Load pattern: reports that are delayed, flap or are temporarily wrong. An entry that followed each report at once
 * would send all work to the target that looked best, which would make it look worst in the next report, so work would
 * oscillate. Decreases are fast because staying hurts callers. Increases are slower than the loop of report, shift and
 * next report, so that the effect of one step is visible before the next. Value type, single-threaded.
 */
class SlewRateLimiter
{
public:
    explicit SlewRateLimiter(SlewRateOptions options = {}, double weight = 1);

    /**
     * Moves the weight towards @p targetWeight (0 to 1) as far as the time since the last call permits, and returns it.
     */
    double moveTowards(double targetWeight, SteadyTime now);

    /** Returns the current weight without changing it. */
    double weight() const;

private:
    SlewRateOptions m_options;
    double m_weight;
    std::optional<SteadyTime> m_lastUpdate;
};

} // namespace Heatherridge
