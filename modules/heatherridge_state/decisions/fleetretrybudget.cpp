#include "heatherridge_state/decisions/fleetretrybudget.h"

namespace Heatherridge
{

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetOptions options)
    : m_options(options)
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

void FleetRetryBudget::setSlackShare(double slackShare)
{
    m_options.slackShare = slackShare;
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
    currentSecond(now);
    double requests = 0;
    double retries = 0;
    for (const auto &second : m_seconds) {
        requests += second.requests;
        retries += second.retries;
    }
    const double allowed = m_options.share * requests + m_options.slack * m_options.slackShare;
    return allowed * SafetyFactor - retries;
}

FleetRetryBudget::SecondCounts &FleetRetryBudget::currentSecond(SteadyTime now)
{
    const auto number = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    while (!m_seconds.empty() && m_seconds.front().number <= number - m_options.window.count()) {
        m_seconds.pop_front();
    }
    if (m_seconds.empty() || m_seconds.back().number != number) {
        m_seconds.push_back({.number = number});
    }
    return m_seconds.back();
}

} // namespace Heatherridge
