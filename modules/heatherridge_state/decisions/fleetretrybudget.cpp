#include "heatherridge_state/decisions/fleetretrybudget.h"

namespace Heatherridge
{

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetOptions options)
    : m_options(options)
{
}

void FleetRetryBudget::recordRequest(SteadyTime now)
{
    ++current(now).requests;
}

void FleetRetryBudget::setOptions(FleetRetryBudgetOptions options)
{
    m_options = options;
}

void FleetRetryBudget::setPart(double part)
{
    m_options.part = part;
}

bool FleetRetryBudget::tryTake(SteadyTime now)
{
    if (left(now) < 1) {
        return false;
    }
    ++current(now).repeats;
    return true;
}

double FleetRetryBudget::left(SteadyTime now)
{
    current(now);
    double requests = 0;
    double repeats = 0;
    for (const auto &second : m_seconds) {
        requests += second.requests;
        repeats += second.repeats;
    }
    const double allowed = m_options.share * requests + m_options.slack * m_options.part;
    return allowed * UsedPart - repeats;
}

FleetRetryBudget::Second &FleetRetryBudget::current(SteadyTime now)
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
