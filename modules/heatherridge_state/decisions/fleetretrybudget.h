#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace Heatherridge
{

/** Limits of a FleetRetryBudget. */
struct FleetRetryBudgetOptions
{
    double share = 0.2; ///< retries per request over all entries; from the limits of the deployment
    double slack = 0; ///< retries beyond that share which all entries together may make in one window
    std::chrono::seconds window{10};
    double slackShare = 0.125; ///< fraction of the slack for this entry while its share of the work is unknown
};

/**
 * Limits retries over all entries without communication between them.
 *
 * Load pattern: a fault makes many requests fail at once, and each is retried. Each entry retries at most the given
 * share of its own requests plus its share of the slack, according to how the log distributes work, so that the total
 * stays within the limit. Requests are counted over the window that ends now, retries over a window of the same length.
 * Single-threaded.
 */
class FleetRetryBudget
{
public:
    /**
     * Fraction of the limit that is used, because the windows of the entries and of whoever checks the limit do not
     * align.
     */
    static constexpr double SafetyFactor = 0.75;

    explicit FleetRetryBudget(FleetRetryBudgetOptions options);

    /** Records that a request for the service has arrived. */
    void recordRequest(SteadyTime now);

    /** Replaces the limits and keeps the counts. */
    void setOptions(FleetRetryBudgetOptions options);

    /** Sets this entry's share of the slack. The shares of all entries add up to at most 1. */
    void setSlackShare(double slackShare);

    /** Takes one retry out of the budget; returns false if none is left. */
    bool tryTake(SteadyTime now);

    /** Returns the number of retries left at @p now. */
    double remaining(SteadyTime now);

private:
    struct SecondCounts
    {
        std::int64_t number = 0;
        int requests = 0;
        int retries = 0;
    };

    SecondCounts &currentSecond(SteadyTime now);

    FleetRetryBudgetOptions m_options;
    std::deque<SecondCounts> m_seconds; ///< of the window, oldest first
};

} // namespace Heatherridge
