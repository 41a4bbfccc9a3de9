#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/slackshare.h"

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
};

/**
 * Limits retries over all entries without communication between them.
 *
 * Load pattern: a fault makes many requests fail at once, and each is retried. Each entry retries at most the given
 * share of its own requests plus its share of the slack, so that the total stays within the limit. An entry that has
 * just started may follow a run that has used the same window's budget; until a window has passed it uses only what the
 * others leave unused. Single-threaded.
 */
class FleetRetryBudget
{
public:
    /** Fraction of the share of requests that an entry uses; the rest is for entries that have just started. */
    static constexpr double SafetyFactor = 0.75;

    /** Uses @p slackShare, which must outlive it. */
    FleetRetryBudget(FleetRetryBudgetOptions options, SlackShare &slackShare);

    /** Records that a request for the service has arrived. */
    void recordRequest(SteadyTime now);

    /** Replaces the limits and keeps the counts. */
    void setOptions(FleetRetryBudgetOptions options);

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
    SlackShare &m_slackShare;
    std::deque<SecondCounts> m_seconds; ///< of the window and the second before it, oldest first
};

} // namespace Heatherridge
