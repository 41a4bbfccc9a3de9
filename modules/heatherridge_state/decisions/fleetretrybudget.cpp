#include "heatherridge_state/decisions/fleetretrybudget.h"

namespace Heatherridge
{

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetOptions options, SlackShare &slackShare)
    : m_options(options)
    , m_slackShare(slackShare)
{
}

void FleetRetryBudget::recordRequest(SteadyTime now)
{
    ++currentSecond(now).requests;
}

void FleetRetryBudget::setOptions(FleetRetryBudgetOptions options)
{
    m_options = options;
}

bool FleetRetryBudget::tryTake(SteadyTime now)
{
    if (remaining(now) < 1) {
        return false;
    }
    ++currentSecond(now).retries;
    return true;
}

double FleetRetryBudget::remaining(SteadyTime now)
{
    const auto firstSecond = currentSecond(now).number - m_options.window.count() + 1;
    double requests = 0;
    double retries = 0;
    for (const auto &second : m_seconds) {
        requests += second.number >= firstSecond ? second.requests : 0;
        // Also those of the second that the window covers in part.
        retries += second.retries;
    }
    const double shareFactor = m_slackShare.isPastKnown(now) ? SafetyFactor : 1 - SafetyFactor;
    return m_options.share * requests * shareFactor + m_options.slack * m_slackShare.usableFraction(now) - retries;
}

FleetRetryBudget::SecondCounts &FleetRetryBudget::currentSecond(SteadyTime now)
{
    const auto number = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    while (!m_seconds.empty() && m_seconds.front().number < number - m_options.window.count()) {
        m_seconds.pop_front();
    }
    if (m_seconds.empty() || m_seconds.back().number != number) {
        m_seconds.push_back({.number = number});
    }
    return m_seconds.back();
}

} // namespace Heatherridge
