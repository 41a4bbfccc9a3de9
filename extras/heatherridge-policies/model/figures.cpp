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
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
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
    , m_sent(1, std::vector<double>(targets))
{
}

void Recorder::setPeriod(SteadyTime from, SteadyTime until)
{
    m_from = from;
    m_until = until;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(until - from).count();
    m_sent.assign(static_cast<std::size_t>(std::max<long>(seconds, 1)), std::vector<double>(m_sent[0].size()));
}

void Recorder::recordArrival(const Job &job)
{
    if (!counts(job)) {
        return;
    }
    m_asked += 1;
    if (job.returns == 0) {
        m_arrivals += 1;
        m_demand[job.customer] += requestCost(job.promptTokens, job.answerTokens);
    }
}

void Recorder::recordAttempt(const Job &job, std::size_t target, bool sameZone, SteadyTime now)
{
    if (!counts(job)) {
        return;
    }
    m_attempts += 1;
    m_local += sameZone ? 1 : 0;
    const auto second = static_cast<std::size_t>(milliseconds(now - m_from) / 1000);
    if (now >= m_from && second < m_sent.size()) {
        m_sent[second][target] += 1;
    }
}

void Recorder::recordVerdict(const Job &job, RetryVerdict verdict)
{
    if (counts(job)) {
        m_verdicts[std::string(textFor(verdict).name)] += 1;
    }
}

void Recorder::recordRefusal(const Job &job, ErrorKind kind, SteadyTime now)
{
    if (counts(job)) {
        m_refusals[std::string(errorDescriptorFor(kind).name)] += 1;
        m_refusalWaits.push_back(milliseconds(now - job.arrived));
    }
}

void Recorder::recordAnswer(const Job &job, SteadyTime firstToken, SteadyTime end, const EngineDone &done)
{
    if (!counts(job)) {
        return;
    }
    m_answers += 1;
    m_hits += done.hadPrefix ? 1 : 0;
    if (end > job.deadline) {
        m_late += 1;
        return;
    }
    m_first.push_back(milliseconds(firstToken - job.arrived));
    m_between.push_back(milliseconds(done.between));
    if (!job.isLong) {
        m_shortFirst.push_back(m_first.back());
    }
    m_total.push_back(milliseconds(end - job.arrived));
    m_received[job.customer] += requestCost(job.promptTokens, job.answerTokens);
}

Figures Recorder::figures() const
{
    const double seconds = milliseconds(m_until - m_from) / 1000;
    Figures figures{.offered = m_arrivals / seconds,
                    .goodput = static_cast<double>(m_total.size()) / seconds,
                    .goodCost = sum(m_received) / seconds,
                    .firstMedian = percentile(m_first, 0.5),
                    .first99 = percentile(m_first, 0.99),
                    .shortFirst99 = percentile(m_shortFirst, 0.99),
                    .between95 = percentile(m_between, 0.95),
                    .total99 = percentile(m_total, 0.99),
                    .lowestShare = lowestShare(),
                    .attemptsPerRequest = m_asked == 0 ? 0 : m_attempts / m_asked,
                    .refusalWait99 = percentile(m_refusalWaits, 0.99),
                    .late = m_late / seconds,
                    .shiftsPerMinute = shiftsPerMinute(),
                    .cacheHits = m_answers == 0 ? 0 : m_hits / m_answers,
                    .localShare = m_attempts == 0 ? 0 : m_local / m_attempts};
    for (const auto &[name, count] : m_refusals) {
        figures.refusals[name] = count / seconds;
    }
    for (const auto &[name, count] : m_verdicts) {
        figures.verdicts[name] = count / seconds;
    }
    return figures;
}

bool Recorder::counts(const Job &job) const
{
    return job.arrived >= m_from && job.arrived < m_until;
}

/** Due is the max-min fair division, by weight, of what was received in all: nobody is due more than it asked for. */
double Recorder::lowestShare() const
{
    std::vector<double> due(m_customers.size());
    std::vector<bool> met(m_customers.size());
    double left = sum(m_received);
    for (std::size_t round = 0; round < m_customers.size(); ++round) {
        double weights = 0;
        for (std::size_t i = 0; i < due.size(); ++i) {
            weights += met[i] ? 0 : m_customers[i].weight;
        }
        bool changed = false;
        const double before = left;
        for (std::size_t i = 0; i < due.size(); ++i) {
            const double part = before * m_customers[i].weight / weights;
            if (!met[i] && m_demand[i] <= part) {
                met[i] = changed = true;
                due[i] = m_demand[i];
                left -= m_demand[i];
            } else if (!met[i]) {
                due[i] = part;
            }
        }
        if (!changed) {
            break;
        }
    }
    double lowest = 1;
    for (std::size_t i = 0; i < due.size(); ++i) {
        if (due[i] > 0) {
            lowest = std::min(lowest, m_received[i] / due[i]);
        }
    }
    return lowest;
}

double Recorder::shiftsPerMinute() const
{
    double shifts = 0;
    for (std::size_t second = 1; second < m_sent.size(); ++second) {
        const double now = sum(m_sent[second]);
        const double before = sum(m_sent[second - 1]);
        const double mean = 1 / static_cast<double>(m_sent[second].size());
        for (std::size_t target = 0; now > 0 && before > 0 && target < m_sent[second].size(); ++target) {
            const double step = m_sent[second][target] / now - m_sent[second - 1][target] / before;
            shifts += std::abs(step) > mean / 2 ? 1 : 0;
        }
    }
    return shifts * 60 / static_cast<double>(m_sent.size() * m_sent[0].size());
}

} // namespace Heatherridge::PolicyModel
