#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/** Bounds of a SlewRateLimiter. */
struct SlewRateOptions
{
    std::chrono::milliseconds halvingTime{
        500}; ///< fastest fall: work must leave a failing target within a second or two
    std::chrono::milliseconds doublingTime{5000}; ///< fastest rise: longer than a report's lag and the answer to it
    double minWeight = 0.05; ///< never lower, so that a rise can begin
};

/**
 * Bounds how fast a target's weight may follow what is reported of it.
 *
 * Load pattern: reports that lag, flap or are wrong for a moment. An entry that follows each at once sends all work to
 * the target that looked best, makes it look worst in the next report and so shifts work to and fro. Falling is fast,
 * since staying hurts callers; rising is slower than the loop of report, shift and next report, so that the
 * effect of a step is seen before the next. Value type, one thread.
 */
class SlewRateLimiter
{
public:
    explicit SlewRateLimiter(SlewRateOptions options = {}, double weight = 1);

    /** Moves towards @p goal (0 to 1) as far as the time since the last call allows, and returns the weight. */
    double moveTowards(double targetWeight, SteadyTime now);

    /** The weight without moving it. */
    double weight() const;

private:
    SlewRateOptions m_options;
    double m_weight;
    std::optional<SteadyTime> m_lastUpdate;
};

} // namespace Heatherridge
