#pragma once

#include <chrono>

namespace Heatherridge
{

/**
 * Estimates how long one target takes per unit of cost, from the requests it has finished.
 *
 * Load pattern: requests of very different sizes at a target whose speed changes with its batch. Without the estimate
 * there is nothing to compare deadlines with, so requests that cannot finish in time are started and discarded late.
 * The average is exponential over about 20 requests: a shorter memory follows single outliers, a longer one lags behind
 * a target's slowdown by a whole batch. Value type, single-threaded.
 */
class ServiceRate
{
public:
    /** Weight of the newest sample in the average: a memory of about 20 requests. */
    static constexpr double SmoothingFactor = 0.05;

    /** Records that a request of @p cost units ran for @p duration. */
    void record(double cost, std::chrono::microseconds duration);

    /** Returns whether any request was recorded; until then all estimates are zero. */
    bool isKnown() const;

    /** Returns the expected running time of a request of @p cost units. */
    std::chrono::microseconds durationOf(double cost) const;

    /** Returns how long @p cost units take to process in total when @p slots requests run at a time. */
    std::chrono::microseconds drainTime(double cost, double slots) const;

    /** Returns the average cost of a request. */
    double meanCost() const;

private:
    double m_microsecondsPerUnit = 0;
    double m_meanCost = 0;
};

} // namespace Heatherridge
