#pragma once

#include <cstdint>

namespace Heatherridge
{

/** Bounds of a RetryBudget. */
struct RetryBudgetOptions
{
    double earnedPerSuccess = 0.08; ///< retries that a good answer earns: below a tenth, with room for the reserve
    double initialBalance = 3; ///< retries in hand at the start, so that an entry with little traffic can retry at all
    double maxBalance = 30; ///< retries that can be saved up: a calm hour must not pay for a storm
};

/**
 * Bounds retries to a share of the good answers.
 *
 * Load pattern: an outage or overload in which requests fail and are sent again. Without a budget, n attempts a request
 * multiply the load by n just when there is least capacity, and the outage feeds itself. A share of the requests that
 * come in is not enough: at ten times the capacity a tenth of them is as much as all that is served, and each of them
 * displaces other work. So good answers earn retries; in an outage the budget runs dry. It is per entry and service
 * and needs no exchange: if each entry keeps the share, so do all in sum. One thread.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    /** A request has been answered well. */
    void recordSuccess();

    /** Takes one retry out of the budget; false when none is left. */
    bool tryConsume();

    /** How many retries are in hand. */
    double balance() const;

private:
    RetryBudgetOptions m_options;
    double m_balance;
};

} // namespace Heatherridge
