#include "heatherridge_state/membership/draintracker.h"

#include <algorithm>
#include <array>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, 3> CauseNames{"planned-stop", "withdrawal", "signal"};

} // namespace

std::string_view toString(DrainCause cause)
{
    return CauseNames.at(static_cast<std::size_t>(cause));
}

void DrainTracker::setCause(DrainCause cause, bool isActive, SteadyTime now)
{
    if (isActive) {
        m_causes.try_emplace(cause, now);
    } else if (cause != DrainCause::Signal) {
        m_causes.erase(cause);
    }
}

void DrainTracker::recordStart(const RequestId &id, SteadyTime now)
{
    m_running.try_emplace(id, now);
}

void DrainTracker::recordEnd(const RequestId &id)
{
    m_running.erase(id);
}

bool DrainTracker::acceptsNewWork() const
{
    return m_causes.empty();
}

DrainPhase DrainTracker::phase() const
{
    if (m_causes.empty()) {
        return DrainPhase::Accepting;
    }
    return m_running.empty() ? DrainPhase::Drained : DrainPhase::Draining;
}

std::optional<DrainCause> DrainTracker::cause() const
{
    return m_causes.empty() ? std::nullopt : std::optional(m_causes.rbegin()->first);
}

std::optional<SteadyTime> DrainTracker::drainingSince() const
{
    if (m_causes.empty()) {
        return std::nullopt;
    }
    return std::min_element(m_causes.begin(), m_causes.end(),
                            [](const auto &a, const auto &b) { return a.second < b.second; })
        ->second;
}

std::vector<RunningRequest> DrainTracker::runningRequests(std::size_t maxCount) const
{
    std::vector<RunningRequest> requests;
    requests.reserve(m_running.size());
    for (const auto &[id, since] : m_running) {
        requests.push_back({.id = id, .since = since});
    }
    std::sort(requests.begin(), requests.end(), [](const auto &a, const auto &b) { return a.since < b.since; });
    requests.resize(std::min(maxCount, requests.size()));
    return requests;
}

std::size_t DrainTracker::runningCount() const
{
    return m_running.size();
}

} // namespace Heatherridge
