#include "heatherridge_state/decisions/retrybudget.h"

#include <algorithm>

namespace Heatherridge
{

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_balance(options.reserve)
{
}

void RetryBudget::recordSuccess()
{
    m_balance = std::min(m_balance + m_options.share, m_options.most);
}

bool RetryBudget::tryTake()
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
