#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <string>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** A workspace that contributes to the offered load. */
struct Customer
{
    std::string name{};
    double weight = 1; ///< fair-share weight
    double demand = 1; ///< share of the offered requests
};

/** Offered load; arrivals form a Poisson process. */
struct WorkloadOptions
{
    double rate = 80; ///< requests per second over all entries
    std::vector<Customer> customers{};
    int prefixes = 60; ///< number of shared prompt prefixes; their popularity follows a Zipf distribution
    double zipf = 1.0; ///< Zipf exponent; 0 makes all prefixes equally popular
    double prefixTokens = 1500;
    double freshTokens = 200; ///< mean length of the prompt after the shared prefix
    double answerTokens = 120; ///< mean of a log-normal distribution
    double longShare = 0; ///< share of requests whose prompt is longer by longTokens
    double longTokens = 12'000;
    std::chrono::milliseconds deadline{60'000};
    SteadyTime burstFrom{}; ///< between these times the rate is multiplied by burstFactor
    SteadyTime burstUntil{};
    double burstFactor = 1;
};

/** One request, including the answer length, which only the engine knows before the request ends. */
struct Job
{
    int number = 0;
    std::size_t customer = 0;
    int prefix = 0;
    double prefixTokens = 0;
    double promptTokens = 0; ///< including the prefix
    double answerTokens = 0; ///< actual length
    double expectedFresh = 0; ///< prompt tokens that the entry expects the chosen target to compute
    double cost = 0; ///< the entry's estimate, based on a guessed answer length
    bool isLong = false;
    SteadyTime arrived{}; ///< when the caller sent the request, or last repeated it after a refusal
    SteadyTime deadline{};
    int clientRetries = 0; ///< how often the caller has repeated the request after a refusal
};

/** Generates the offered load at random. */
class Workload
{
public:
    Workload(WorkloadOptions options, std::uint64_t seed);

    /** Returns a random request that arrives at @p now. */
    Job draw(SteadyTime now);

    /** Returns a random time from @p now to the next arrival. */
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
    std::vector<double> m_popularity; ///< cumulative popularity by prefix
    double m_demand = 0;
    int m_nextNumber = 0;
};

/** Returns ten workspaces: two large and eight small ones, each with demand proportional to its weight. */
std::vector<Customer> tenCustomers();

} // namespace Heatherridge::PolicyModel
