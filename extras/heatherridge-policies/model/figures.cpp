#include "figures.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge::PolicyModel
{

namespace
{

double milliseconds(SteadyTime::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

double sum(const std::vector<double> &values)
{
    double total = 0;
    for (const double value : values) {
        total += value;
    }
    return total;
}

} // namespace

Recorder::Recorder(std::size_t targets, const std::vector<Customer> &customers)
    : m_customers(customers)
    , m_demand(customers.size())
    , m_received(customers.size())
    , m_attemptsBySecond(1, std::vector<double>(targets))
{
}

void Recorder::setPeriod(SteadyTime from, SteadyTime until)
{
    m_from = from;
    m_until = until;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(until - from).count();
    m_attemptsBySecond.assign(static_cast<std::size_t>(std::max<long>(seconds, 1)),
                              std::vector<double>(m_attemptsBySecond[0].size()));
}

void Recorder::recordArrival(const Job &job)
{
    if (!isInPeriod(job)) {
        return;
    }
    m_submissions += 1;
    if (job.clientRetries == 0) {
        m_arrivals += 1;
        m_demand[job.customer] += requestCost(job.promptTokens, job.answerTokens);
    }
}

void Recorder::recordAttempt(const Job &job, std::size_t target, bool sameZone, SteadyTime now)
{
    if (!isInPeriod(job)) {
        return;
    }
    m_attempts += 1;
    m_localAttempts += sameZone ? 1 : 0;
    const auto second = static_cast<std::size_t>(milliseconds(now - m_from) / 1000);
    if (now >= m_from && second < m_attemptsBySecond.size()) {
        m_attemptsBySecond[second][target] += 1;
    }
}

void Recorder::recordVerdict(const Job &job, RetryVerdict verdict)
{
    if (isInPeriod(job)) {
        m_verdicts[std::string(textFor(verdict).name)] += 1;
    }
}

void Recorder::recordRefusal(const Job &job, ErrorKind kind, SteadyTime now)
{
    if (isInPeriod(job)) {
        m_refusals[std::string(errorDescriptorFor(kind).name)] += 1;
        m_refusalWaits.push_back(milliseconds(now - job.arrived));
    }
}

void Recorder::recordAnswer(const Job &job, SteadyTime firstToken, SteadyTime end, const EngineResult &done)
{
    if (!isInPeriod(job)) {
        return;
    }
    m_answers += 1;
    m_cacheHits += done.hadPrefix ? 1 : 0;
    if (end > job.deadline) {
        m_lateAnswers += 1;
        return;
    }
    m_firstTokenTimes.push_back(milliseconds(firstToken - job.arrived));
    m_tokenGaps.push_back(milliseconds(done.tokenGap));
    if (!job.isLong) {
        m_shortFirstTokenTimes.push_back(m_firstTokenTimes.back());
    }
    m_totalTimes.push_back(milliseconds(end - job.arrived));
    m_received[job.customer] += requestCost(job.promptTokens, job.answerTokens);
}

Figures Recorder::figures() const
{
    const double seconds = milliseconds(m_until - m_from) / 1000;
    Figures figures{.offered = m_arrivals / seconds,
                    .goodput = static_cast<double>(m_totalTimes.size()) / seconds,
                    .goodCost = sum(m_received) / seconds,
                    .firstTokenP50 = percentile(m_firstTokenTimes, 0.5),
                    .firstTokenP99 = percentile(m_firstTokenTimes, 0.99),
                    .shortFirstTokenP99 = percentile(m_shortFirstTokenTimes, 0.99),
                    .tokenGapP95 = percentile(m_tokenGaps, 0.95),
                    .totalP99 = percentile(m_totalTimes, 0.99),
                    .lowestShare = lowestShare(),
                    .attemptsPerRequest = m_submissions == 0 ? 0 : m_attempts / m_submissions,
                    .refusalWaitP99 = percentile(m_refusalWaits, 0.99),
                    .late = m_lateAnswers / seconds,
                    .shiftsPerMinute = shiftsPerMinute(),
                    .cacheHits = m_answers == 0 ? 0 : m_cacheHits / m_answers,
                    .localShare = m_attempts == 0 ? 0 : m_localAttempts / m_attempts};
    for (const auto &[name, count] : m_refusals) {
        figures.refusals[name] = count / seconds;
    }
    for (const auto &[name, count] : m_verdicts) {
        figures.verdicts[name] = count / seconds;
    }
    return figures;
}

bool Recorder::isInPeriod(const Job &job) const
{
    return job.arrived >= m_from && job.arrived < m_until;
}

/** The fair share is the weighted max-min fair division of the total received cost: no share exceeds its demand. */
double Recorder::lowestShare() const
{
    std::vector<double> fairShare(m_customers.size());
    std::vector<bool> isSatisfied(m_customers.size());
    double remaining = sum(m_received);
    for (std::size_t round = 0; round < m_customers.size(); ++round) {
        double weights = 0;
        for (std::size_t i = 0; i < fairShare.size(); ++i) {
            weights += isSatisfied[i] ? 0 : m_customers[i].weight;
        }
        bool changed = false;
        const double before = remaining;
        for (std::size_t i = 0; i < fairShare.size(); ++i) {
            const double share = before * m_customers[i].weight / weights;
            if (!isSatisfied[i] && m_demand[i] <= share) {
                isSatisfied[i] = changed = true;
                fairShare[i] = m_demand[i];
                remaining -= m_demand[i];
            } else if (!isSatisfied[i]) {
                fairShare[i] = share;
            }
        }
        if (!changed) {
            break;
        }
    }
    double lowest = 1;
    for (std::size_t i = 0; i < fairShare.size(); ++i) {
        if (fairShare[i] > 0) {
            lowest = std::min(lowest, m_received[i] / fairShare[i]);
        }
    }
    return lowest;
}

double Recorder::shiftsPerMinute() const
{
    double shifts = 0;
    for (std::size_t second = 1; second < m_attemptsBySecond.size(); ++second) {
        const double now = sum(m_attemptsBySecond[second]);
        const double before = sum(m_attemptsBySecond[second - 1]);
        const double mean = 1 / static_cast<double>(m_attemptsBySecond[second].size());
        for (std::size_t target = 0; now > 0 && before > 0 && target < m_attemptsBySecond[second].size(); ++target) {
            const double step =
                m_attemptsBySecond[second][target] / now - m_attemptsBySecond[second - 1][target] / before;
            shifts += std::abs(step) > mean / 2 ? 1 : 0;
        }
    }
    return shifts * 60 / static_cast<double>(m_attemptsBySecond.size() * m_attemptsBySecond[0].size());
}

} // namespace Heatherridge::PolicyModel
