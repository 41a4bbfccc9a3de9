#pragma once

#include <cstdint>

namespace Heatherridge
{

/** Parameters of a RetryBudget. */
struct RetryBudgetOptions
{
    double earnedPerSuccess =
        0.08; ///< retries earned by each successful answer: below a tenth, to leave room for the initial balance
    double initialBalance =
        3; ///< retries available at the start, so that an entry with little traffic can retry at all
    double maxBalance = 30; ///< largest balance: retries saved in a calm hour must not feed an overload
};

/**
 * Limits retries to a share of the successful answers.
 *
 * Load pattern: an outage or overload in which requests fail and are sent again. Without a budget, n attempts per
 * request multiply the load by n exactly when capacity is lowest, and the outage sustains itself. A share of the
 * incoming requests is not a sufficient limit: at ten times the capacity, a tenth of them equals all that is served,
 * and each retry displaces other work. Successful answers therefore earn retries, and in an outage the budget is
 * exhausted. The budget is per entry and service and needs no coordination: if each entry keeps to the share, so does
 * the sum. Single-threaded.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    /** Records a successful answer. */
    void recordSuccess();

    /** Takes one retry from the budget; returns false when none is left. */
    bool tryConsume();

    /** Returns the number of retries available. */
    double balance() const;

private:
    RetryBudgetOptions m_options;
    double m_balance;
};

} // namespace Heatherridge
