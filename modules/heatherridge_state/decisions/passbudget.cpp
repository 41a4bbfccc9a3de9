#include "heatherridge_state/decisions/passbudget.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <vector>

namespace Heatherridge
{

PassTimeModel::Milliseconds PassTimeModel::idealPassTime(double requestsPerEngine, double promptsPerEngine) const
{
    return baseTime + timePerRequest * requestsPerEngine + promptTime * promptsPerEngine;
}

PassTimeModel::Milliseconds PassTimeModel::meanTimePerRequest() const
{
    return timePerRequest + promptTime / std::max(passesPerStream, 1.0);
}

void PassSlowdown::record(std::chrono::duration<double, std::milli> passTime, const PassLoad &load,
                          const PassTimeModel &passTimes, bool isTypical, SteadyTime now)
{
    const auto idealTime = passTimes.idealPassTime(load.requests, load.prompts);
    if (idealTime.count() <= 0) {
        return;
    }
    m_samples.push_back({.at = now, .slowdown = std::max(1.0, passTime / idealTime), .isTypical = isTypical});
    while (now - m_samples.front().at > HistoryLength) {
        m_samples.pop_front();
    }
    updateHighPercentile();
}

void PassSlowdown::discardOldSamples()
{
    while (m_samples.size() > CurrentPasses) {
        m_samples.pop_front();
    }
    updateHighPercentile();
}

void PassSlowdown::updateHighPercentile()
{
    std::vector<double> slowdowns;
    slowdowns.reserve(m_samples.size());
    for (const auto &sample : m_samples) {
        if (sample.isTypical) {
            slowdowns.push_back(sample.slowdown);
        }
    }
    if (slowdowns.empty()) {
        m_highPercentile = 1;
        return;
    }
    const auto exceedingCount = static_cast<std::ptrdiff_t>(ExceedingShare * static_cast<double>(slowdowns.size()));
    std::nth_element(slowdowns.begin(), slowdowns.begin() + exceedingCount, slowdowns.end(), std::greater<>());
    m_highPercentile = slowdowns[static_cast<std::size_t>(exceedingCount)];
}

double PassSlowdown::current() const
{
    double longest = 1;
    double second = 1;
    const auto begin = m_samples.size() > CurrentPasses ? m_samples.size() - CurrentPasses : 0;
    for (auto index = begin; index < m_samples.size(); ++index) {
        const auto slowdown = m_samples[index].slowdown;
        second = std::max(second, std::min(longest, slowdown));
        longest = std::max(longest, slowdown);
    }
    // A single pass that is much longer than its neighbours processed a long prompt and does not predict the next pass.
    return second;
}

double PassSlowdown::highPercentile() const
{
    return std::max(m_highPercentile, current());
}

SteadyTime PassSlowdown::lastRecordedAt() const
{
    return m_samples.empty() ? SteadyTime{} : m_samples.back().at;
}

double maxRequestsOnTime(double slowdown, std::size_t engines, const PassTimeModel &passTimes)
{
    const auto count = static_cast<double>(engines);
    const auto timeForRequests = passTimes.maxPassTime / std::max(slowdown, 1.0) - passTimes.baseTime;
    const auto timePerRequest = passTimes.meanTimePerRequest();
    if (timePerRequest.count() <= 0) {
        return timeForRequests.count() > 0 ? std::numeric_limits<double>::max() : 0;
    }
    return std::max(0.0, timeForRequests / timePerRequest * count);
}

bool cannotBeOnTime(double slowdown, const PassTimeModel &passTimes)
{
    return maxRequestsOnTime(slowdown, 1, passTimes) < 1;
}

int maxStreamsPerPass(double spareRequests, const PassTimeModel &passTimes, double share)
{
    if (spareRequests < 1) {
        return 0;
    }
    // Processing a prompt takes as much of a pass as generating tokens for this many requests.
    const auto timePerRequest = passTimes.meanTimePerRequest();
    const double weight = timePerRequest.count() > 0 ? std::max(1.0, passTimes.promptTime / timePerRequest) : 1;
    return std::max(1, static_cast<int>(std::min(spareRequests, 1e6) * share / weight));
}

} // namespace Heatherridge
