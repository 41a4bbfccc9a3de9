#pragma once

#include <chrono>
#include <optional>

namespace Heatherridge
{

/** Smoothing gains of a RunningEstimate: the weight of each new sample. */
struct RunningEstimateOptions
{
    double meanGain = 0.25;
    double deviationGain = 0.25;
};

/**
 * Exponentially smoothed mean and mean deviation of a repeatedly measured duration.
 *
 * Both follow the samples with a fixed gain, like TCP's round-trip time estimate. Single-threaded.
 */
class RunningEstimate
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    explicit RunningEstimate(RunningEstimateOptions options = {});

    /** Records a sample. */
    void record(Milliseconds sample);

    /** Returns the smoothed mean; nothing before the first sample. */
    std::optional<Milliseconds> mean() const;

    /** Returns the smoothed distance of samples from the mean; half of the first sample until there is a second. */
    Milliseconds deviation() const;

private:
    RunningEstimateOptions m_options;
    std::optional<Milliseconds> m_mean;
    Milliseconds m_deviation{};
};

} // namespace Heatherridge
