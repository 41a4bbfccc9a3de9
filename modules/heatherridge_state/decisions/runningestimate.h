#pragma once

#include <chrono>
#include <optional>

namespace Heatherridge
{

/**
 * A duration that is measured again and again, with its usual spread.
 *
 * The mean alone is exceeded half of the time; a bound that must hold for each of a stream's pauses has to leave room
 * for what is usually above it. Both follow their samples by a fixed part, as TCP does for round trips. One thread.
 */
class RunningEstimate
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /** Part of a new sample in the estimates: the last four have two thirds of the weight. */
    static constexpr double Gain = 0.25;
    /** Deviations above the mean that high() adds: one sample in some twenty is above it. */
    static constexpr double HighDeviations = 2;

    /** Takes a sample. */
    void record(Milliseconds sample);

    /** The mean of late; nothing before the first sample. */
    std::optional<Milliseconds> mean() const;

    /** What samples seldom exceed; nothing before the first sample. */
    std::optional<Milliseconds> high() const;

private:
    std::optional<Milliseconds> m_mean;
    Milliseconds m_deviation{0}; ///< mean distance from the mean
};

} // namespace Heatherridge
