#pragma once

#include "fakeengine.h"

#include <map>
#include <string>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** Results of one run as callers see them. */
struct Figures
{
    double offered = 0; ///< requests per second sent by callers, not counting those repeated after a refusal
    double goodput = 0; ///< requests per second answered within their deadline
    double goodCost = 0; ///< goodput in units of cost per second
    double firstTokenP50 = 0; ///< ms from arrival to the first token, of requests answered within their deadline
    double firstTokenP99 = 0;
    double shortFirstTokenP99 = 0; ///< firstTokenP99 without long requests
    double tokenGapP95 = 0; ///< ms between tokens, averaged over each request
    double totalP99 = 0; ///< ms from arrival to the end of the answer
    double lowestShare = 0; ///< lowest ratio of received to fair share over the workspaces with demand
    double attemptsPerRequest = 0; ///< attempts sent by entries per incoming request
    double refusalWaitP99 = 0; ///< ms from arrival to refusal
    double late = 0; ///< requests per second answered after their deadline
    double shiftsPerMinute =
        0; ///< changes of a target's share of traffic from one second to the next by more than half the
    ///< mean share, per minute and target
    double cacheHits = 0; ///< share of answered requests whose prefix was cached
    double localShare = 0; ///< share of attempts sent to a target in the zone of the entry
    double meanLimit = 0; ///< mean of the concurrency limits at the end of the measured period
    std::map<std::string, double> refusals{}; ///< refusals per second, by reason
    std::map<std::string, double> verdicts{}; ///< retry verdicts per second, by verdict
};

/** Records the events of the measured period of a run. */
class Recorder
{
public:
    Recorder(std::size_t targets, const std::vector<Customer> &customers);

    /** Sets the measured period; only requests that arrive in it are counted. */
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
    std::vector<double> m_demand; ///< cost, by customer
    std::vector<double> m_received;
    std::vector<std::vector<double>> m_attemptsBySecond; ///< by second, then by target
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
