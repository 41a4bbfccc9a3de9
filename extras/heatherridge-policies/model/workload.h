#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <string>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** One workspace of the offered load. */
struct Customer
{
    std::string name{};
    double weight = 1; ///< due share
    double demand = 1; ///< share of the offered requests
};

/** What is offered, as a Poisson stream. */
struct WorkloadOptions
{
    double rate = 80; ///< requests a second, over all entries
    std::vector<Customer> customers{};
    int prefixes = 60; ///< shared beginnings, of Zipf popularity
    double zipf = 1.0; ///< exponent; 0 makes all alike
    double prefixTokens = 1500;
    double freshTokens = 200; ///< mean of the prompt's own part
    double answerTokens = 120; ///< mean; log-normal
    double longShare = 0; ///< share of requests with a prompt of longTokens
    double longTokens = 12'000;
    std::chrono::milliseconds deadline{60'000};
    SteadyTime burstFrom{}; ///< between these times the rate is multiplied by burstFactor
    SteadyTime burstUntil{};
    double burstFactor = 1;
};

/** One request, with what only the engine knows before it ends. */
struct Job
{
    int number = 0;
    std::size_t customer = 0;
    int prefix = 0;
    double prefixTokens = 0;
    double promptTokens = 0; ///< prefix included
    double answerTokens = 0; ///< true length
    double expectedFresh = 0; ///< prompt tokens that the entry expects the chosen target to compute
    double cost = 0; ///< as estimated by the entry: the answer's length is guessed
    bool isLong = false;
    SteadyTime arrived{}; ///< when the caller first asked
    SteadyTime deadline{};
    int clientRetries = 0; ///< how often the caller has come back after a refusal
};

/** Draws the offered load. */
class Workload
{
public:
    Workload(WorkloadOptions options, std::uint64_t seed);

    /** The next request at @p now. */
    Job draw(SteadyTime now);

    /** The time to the next arrival after @p now. */
    std::chrono::microseconds timeToNextArrival(SteadyTime now);

    const WorkloadOptions &options() const
    {
        return m_options;
    }

private:
    double exponential(double mean);
    double logNormal(double mean, double sigma);

    WorkloadOptions m_options;
    SeededRandom m_random;
    std::vector<double> m_popularity; ///< cumulative
    double m_demand = 0;
    int m_nextNumber = 0;
};

/** Ten customers: two large ones and a tail, each with demand in proportion to its weight. */
std::vector<Customer> tenCustomers();

} // namespace Heatherridge::PolicyModel
