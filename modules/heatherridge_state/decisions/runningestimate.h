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

    /** Part of a new sample in the mean: the last four have two thirds of the weight. */
    static constexpr double Gain = 0.25;

    /** Takes a sample. */
    void record(Milliseconds sample);

    /** The mean of late; nothing before the first sample. */
    std::optional<Milliseconds> mean() const;

private:
    std::optional<Milliseconds> m_mean;
};

} // namespace Heatherridge
