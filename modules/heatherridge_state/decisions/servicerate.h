#pragma once

#include <chrono>

namespace Heatherridge
{

/**
 * Learns how long one target takes for one unit of cost, from the requests that it has finished.
 *
 * Load pattern: requests of very different sizes at a target whose speed changes with its batch. Without it a deadline
 * can be compared with nothing, so that work which cannot finish is started and thrown away late. The average is
 * exponential over about 20 requests: fewer follows single outliers, more lags behind a slowed target by its whole
 * batch. Value type, one thread.
 */
class ServiceRate
{
public:
    /** Share of the newest sample in the average: a memory of about 20 requests. */
    static constexpr double SmoothingFactor = 0.05;

    /** Takes in that a request of @p cost units ran for @p duration. */
    void record(double cost, std::chrono::microseconds duration);

    /** Whether any request has been measured; until then all estimates are zero. */
    bool isKnown() const;

    /** How long a request of @p cost units is expected to run once started. */
    std::chrono::microseconds durationOf(double cost) const;

    /** How long @p cost units wait in total when @p slots requests run at a time. */
    std::chrono::microseconds drainTime(double cost, double slots) const;

    /** The average cost of a request. */
    double meanCost() const;

private:
    double m_microsecondsPerUnit = 0;
    double m_meanCost = 0;
};

} // namespace Heatherridge
