#include "heatherridge_state/decisions/retrybudget.h"

#include <algorithm>

namespace Heatherridge
{

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_balance(options.initialBalance)
{
}

void RetryBudget::recordSuccess()
{
    m_balance = std::min(m_balance + m_options.earnedPerSuccess, m_options.maxBalance);
}

bool RetryBudget::tryConsume()
{
    if (m_balance < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

double RetryBudget::balance() const
{
    return m_balance;
}

} // namespace Heatherridge
