#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace Heatherridge
{

/** What one window of measurement says. */
enum class LatencyVerdict {
    Unknown, ///< too few samples
    Good, ///< within what is acceptable
    High, ///< above it
};

/**
 * Compares the latency of a window with what the same target does under little load.
 *
 * Load pattern: targets whose speed differs by model and batch, so that no fixed number of milliseconds tells good from
 * late. Latency is late when it exceeds both an acceptable value, below which no caller is hurt, and Tolerance times
 * the baseline. The baseline falls at once to the lowest window and rises only while little runs: without this rule a
 * target that is always busy would teach it that late is normal. Value type, one thread.
 */
class LatencyBaseline
{
public:
    /** A batch that doubles the time of the empty engine is past the point where its cost is shared. */
    static constexpr double MaxBaselineRatio = 2.0;
    /** Fewer samples in a window than this decide nothing. */
    static constexpr int MinSamples = 8;

    /** A baseline for which latencies up to @p acceptable are always good. */
    explicit LatencyBaseline(std::chrono::microseconds acceptable);

    /** Takes in one sample of the window that is open. */
    void record(std::chrono::microseconds latency);

    /** Closes the window. @param littleLoad whether so little ran that its latency is the baseline. */
    LatencyVerdict closeWindow(bool isLowLoad);

    /** Mean latency of the last closed window over the latency that would still be good; above 1 is late. */
    double lastLatencyRatio() const;

    /** Forgets the baseline: the target is another one or starts anew. */
    void reset();

private:
    std::chrono::microseconds m_acceptable;
    std::optional<double> m_baseline; ///< microseconds
    double m_sum = 0;
    int m_samples = 0;
    double m_lastLatencyRatio = 0;
};

} // namespace Heatherridge
