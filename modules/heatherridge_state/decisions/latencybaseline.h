#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace Heatherridge
{

/** Result of one measurement window. */
enum class LatencyVerdict {
    Unknown, ///< too few samples
    Good, ///< within the acceptable range
    High, ///< above it
};

/**
 * Compares the latency of a window with the latency of the same target under low load.
 *
 * Load pattern: targets whose speed differs by model and batch, so that no fixed number of milliseconds separates good
 * from high latency. Latency is high when it exceeds both an acceptable value, below which no caller is affected, and
 * MaxBaselineRatio times the baseline. The baseline drops immediately to the lowest window and rises only under low
 * load; otherwise the high latency of a target that is always busy would become its baseline. Value type,
 * single-threaded.
 */
class LatencyBaseline
{
public:
    /** A batch that doubles the time of an idle engine is past the point where batching amortizes its cost. */
    static constexpr double MaxBaselineRatio = 2.0;
    /** Windows with fewer samples yield LatencyVerdict::Unknown. */
    static constexpr int MinSamples = 8;

    /** Creates a baseline for which latencies up to @p acceptable are always good. */
    explicit LatencyBaseline(std::chrono::microseconds acceptable);

    /** Adds a sample to the current window. */
    void record(std::chrono::microseconds latency);

    /**
     * Closes the current window and returns its verdict. With fewer than MinSamples samples the window stays open.
     * @param isLowLoad whether load was so low that the latency of the window is the baseline
     */
    LatencyVerdict closeWindow(bool isLowLoad);

    /**
     * Returns the mean latency of the last closed window over the highest latency that is still good; above 1 the
     * latency is high.
     */
    double lastLatencyRatio() const;

    /** Discards the baseline, because the target was replaced or restarted. */
    void reset();

private:
    std::chrono::microseconds m_acceptable;
    std::optional<double> m_baseline; ///< in microseconds
    double m_sum = 0;
    int m_samples = 0;
    double m_lastLatencyRatio = 0;
};

} // namespace Heatherridge
