#pragma once

#include "fakeengine.h"

#include <map>
#include <string>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** What callers got in one run. */
struct Figures
{
    double offered = 0; ///< requests a second that callers asked for, returns not counted
    double goodput = 0; ///< requests a second that ended within their deadline
    double goodCost = 0; ///< the same in units of cost
    double firstTokenP50 = 0; ///< ms from asking to the first token, of good requests
    double firstTokenP99 = 0;
    double shortFirstTokenP99 = 0; ///< the same without long requests
    double tokenGapP95 = 0; ///< ms between tokens, mean of a request
    double totalP99 = 0; ///< ms to the whole answer
    double lowestShare = 0; ///< lowest received / due over the customers with demand
    double attemptsPerRequest = 0; ///< attempts sent by entries over requests that came in
    double refusalWaitP99 = 0; ///< ms that a refused caller waited for its refusal
    double late = 0; ///< requests a second that ended after their deadline
    double shiftsPerMinute = 0; ///< steps of a target's share of traffic beyond half its mean, from second to second
    double cacheHits = 0; ///< share of requests whose prefix was cached
    double localShare = 0; ///< share of attempts that stayed in their zone
    double meanLimit = 0; ///< of the concurrency limits at the end of the run
    std::map<std::string, double> refusals{}; ///< a second, by reason
    std::map<std::string, double> verdicts{}; ///< retry verdicts a second
};

/** Collects what happens during the measured part of a run. */
class Recorder
{
public:
    Recorder(std::size_t targets, const std::vector<Customer> &customers);

    /** Only what arrives between the two times counts. */
    void setPeriod(SteadyTime from, SteadyTime until);

    void recordArrival(const Job &job);
    void recordAttempt(const Job &job, std::size_t target, bool sameZone, SteadyTime now);
    void recordVerdict(const Job &job, RetryVerdict verdict);
    void recordRefusal(const Job &job, ErrorKind kind, SteadyTime now);
    void recordAnswer(const Job &job, SteadyTime firstToken, SteadyTime end, const EngineResult &done);

    Figures figures() const;

private:
    bool isInPeriod(const Job &job) const;
    double lowestShare() const;
    double shiftsPerMinute() const;

    const std::vector<Customer> &m_customers;
    SteadyTime m_from{};
    SteadyTime m_until{};
    std::vector<double> m_firstTokenTimes;
    std::vector<double> m_shortFirstTokenTimes;
    std::vector<double> m_tokenGaps;
    std::vector<double> m_totalTimes;
    std::vector<double> m_refusalWaits;
    std::vector<double> m_demand; ///< cost by customer
    std::vector<double> m_received;
    std::vector<std::vector<double>> m_attemptsBySecond; ///< by second, by target
    std::map<std::string, double> m_refusals;
    std::map<std::string, double> m_verdicts;
    double m_arrivals = 0;
    double m_submissions = 0;
    double m_attempts = 0;
    double m_localAttempts = 0;
    double m_cacheHits = 0;
    double m_answers = 0;
    double m_lateAnswers = 0;
};

} // namespace Heatherridge::PolicyModel
