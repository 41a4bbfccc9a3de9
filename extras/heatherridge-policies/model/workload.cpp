#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Heatherridge::PolicyModel
{

namespace
{

constexpr double GuessSigma = 0.4; ///< log-normal sigma of the entry's estimate of an answer's length
constexpr double AnswerSigma = 0.7;

} // namespace

std::vector<Customer> tenCustomers()
{
    std::vector<Customer> customers;
    for (int i = 0; i < 10; ++i) {
        const double size = i < 2 ? 4 : 1;
        customers.push_back({.name = "w" + std::to_string(i), .weight = size, .demand = size});
    }
    return customers;
}

Workload::Workload(WorkloadOptions options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
{
    if (m_options.customers.empty()) {
        m_options.customers = tenCustomers();
    }
    double sum = 0;
    for (int i = 0; i < m_options.prefixes; ++i) {
        sum += std::pow(i + 1.0, -m_options.zipf);
        m_popularity.push_back(sum);
    }
    for (const auto &customer : m_options.customers) {
        m_demand += customer.demand;
    }
}

Job Workload::draw(SteadyTime now)
{
    Job job{.number = m_nextNumber++, .arrived = now, .deadline = now + m_options.deadline};
    double point = m_random.fraction() * m_demand;
    while (job.customer + 1 < m_options.customers.size() && point >= m_options.customers[job.customer].demand) {
        point -= m_options.customers[job.customer++].demand;
    }
    const double popularity = m_random.fraction() * m_popularity.back();
    job.prefix =
        static_cast<int>(std::lower_bound(m_popularity.begin(), m_popularity.end(), popularity) - m_popularity.begin());
    job.prefixTokens = m_options.prefixTokens;
    job.promptTokens = m_options.prefixTokens + exponential(m_options.freshTokens);
    job.isLong = m_random.fraction() < m_options.longShare;
    if (job.isLong) {
        job.promptTokens += m_options.longTokens;
    }
    job.answerTokens = std::clamp(logNormal(m_options.answerTokens, AnswerSigma), 2.0, 8 * m_options.answerTokens);
    job.cost = requestCost(job.promptTokens, logNormal(job.answerTokens, GuessSigma));
    return job;
}

std::chrono::microseconds Workload::timeToNextArrival(SteadyTime now)
{
    const bool burst = now >= m_options.burstFrom && now < m_options.burstUntil;
    const double rate = m_options.rate * (burst ? m_options.burstFactor : 1);
    return std::chrono::microseconds(static_cast<long long>(exponential(1e6 / rate)));
}

double Workload::exponential(double mean)
{
    return -mean * std::log(1 - m_random.fraction());
}

double Workload::logNormal(double mean, double sigma)
{
    const double angle = 2 * std::numbers::pi * m_random.fraction();
    const double normal = std::sqrt(-2 * std::log(1 - m_random.fraction())) * std::cos(angle);
    return mean * std::exp(sigma * normal - sigma * sigma / 2);
}

} // namespace Heatherridge::PolicyModel
