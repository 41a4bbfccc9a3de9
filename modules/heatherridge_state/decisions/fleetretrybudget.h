#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace Heatherridge
{

/** Bounds of a FleetRetryBudget. */
struct FleetRetryBudgetOptions
{
    double share = 0.2; ///< repeats for each request, over all entries; from the deployment's bounds
    double slack = 0; ///< repeats that all entries together may make beyond it in one window
    std::chrono::seconds window{10};
    double slackShare = 0.125; ///< of the slack, for this entry while it does not know its share of the work
};

/**
 * Bounds repeats over all entries without any exchange between them.
 *
 * Load pattern: a fault makes many requests fail at once, and each is sent again. Each entry repeats at most the share
 * of its own requests and its part of the slack, as the log divides work, so the sum keeps the bound. Requests are
 * counted over the window that ends now, repeats over a window as long. One thread.
 */
class FleetRetryBudget
{
public:
    /** Part of the bound that is used: windows of entries and of whoever checks don't line up. */
    static constexpr double SafetyFactor = 0.75;

    explicit FleetRetryBudget(FleetRetryBudgetOptions options);

    /** A request for the service has come. */
    void recordRequest(SteadyTime now);

    /** Other bounds hold from now on; what was counted stays. */
    void setOptions(FleetRetryBudgetOptions options);

    /** This entry's part of the slack. All entries' parts together are at most 1. */
    void setSlackShare(double slackShare);

    /** Takes one repeat out of the budget; false when none is left. */
    bool tryTake(SteadyTime now);

    /** How many repeats are left at @p now. */
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
