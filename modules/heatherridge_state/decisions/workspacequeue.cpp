#include "heatherridge_state/decisions/workspacequeue.h"

#include <algorithm>
#include <cassert>

namespace Heatherridge
{

void WorkspaceLane::add(Waiting waiting, SteadyTime now)
{
    const ClassKey key{.priority = waiting.request.priority, .isLong = waiting.isLong};
    const auto [position, isNew] = m_classes.try_emplace(key);
    if (isNew) {
        position->second.waitingSince = now;
    }
    if (!m_lastPrompt) {
        m_lastPrompt = now;
    }
    m_lastArrival = now;
    m_backlog += waiting.request.cost;
    ++m_size;
    position->second.requests.push_back(std::move(waiting));
}

bool WorkspaceLane::isEmpty(bool longAllowed) const
{
    return longAllowed
        ? m_size == 0
        : std::all_of(m_classes.begin(), m_classes.end(), [](const auto &entry) { return entry.first.isLong; });
}

std::optional<WorkspaceLane::Waiting> WorkspaceLane::pop(SteadyTime now, bool longAllowed, bool newestFirst)
{
    auto best = m_classes.end();
    double bestRank = 0;
    for (auto position = m_classes.begin(); position != m_classes.end(); ++position) {
        const auto &[key, waitingClass] = *position;
        if (key.isLong && !longAllowed) {
            continue;
        }
        const std::chrono::duration<double> age = now - waitingClass.waitingSince;
        const double rank = key.priority - (key.isLong ? 1 : 0) + age / AgeingStep;
        if (best == m_classes.end() || rank > bestRank) {
            best = position;
            bestRank = rank;
        }
    }
    if (best == m_classes.end()) {
        return std::nullopt;
    }
    if (now - *oldestArrival() <= PromptWait) {
        m_lastPrompt = now;
    }
    auto &chosen = best->second;
    chosen.waitingSince = now;
    return takeOut(best, newestFirst ? std::prev(chosen.requests.end()) : chosen.requests.begin());
}

std::optional<WorkspaceLane::Waiting> WorkspaceLane::popOldest()
{
    const auto oldest = std::min_element(m_classes.begin(), m_classes.end(), [](const auto &a, const auto &b) {
        return a.second.requests.front().arrived < b.second.requests.front().arrived;
    });
    if (oldest == m_classes.end()) {
        return std::nullopt;
    }
    return takeOut(oldest, oldest->second.requests.begin());
}

std::optional<WorkspaceLane::Waiting> WorkspaceLane::remove(const RequestId &id)
{
    for (auto position = m_classes.begin(); position != m_classes.end(); ++position) {
        auto &requests = position->second.requests;
        const auto request = std::find_if(requests.begin(), requests.end(),
                                          [&id](const auto &waiting) { return waiting.request.id == id; });
        if (request != requests.end()) {
            return takeOut(position, request);
        }
    }
    return std::nullopt;
}

std::optional<WorkspaceLane::Waiting> WorkspaceLane::popLate(SteadyTime now)
{
    for (auto position = m_classes.begin(); position != m_classes.end(); ++position) {
        auto &requests = position->second.requests;
        const auto request = std::find_if(requests.begin(), requests.end(),
                                          [now](const auto &waiting) { return waiting.latestStart < now; });
        if (request != requests.end()) {
            return takeOut(position, request);
        }
    }
    return std::nullopt;
}

std::optional<SteadyTime> WorkspaceLane::earliestLatestStart() const
{
    std::optional<SteadyTime> earliest;
    for (const auto &[key, waitingClass] : m_classes) {
        for (const auto &waiting : waitingClass.requests) {
            earliest = earliest ? std::min(*earliest, waiting.latestStart) : waiting.latestStart;
        }
    }
    return earliest;
}

int WorkspaceLane::highestPriority() const
{
    return m_classes.empty() ? 0 : m_classes.rbegin()->first.priority;
}

double WorkspaceLane::backlog() const
{
    return m_backlog;
}

std::size_t WorkspaceLane::size() const
{
    return m_size;
}

std::optional<SteadyTime> WorkspaceLane::oldestArrival() const
{
    std::optional<SteadyTime> oldest;
    for (const auto &[key, waitingClass] : m_classes) {
        const auto arrived = waitingClass.requests.front().arrived;
        oldest = oldest ? std::min(*oldest, arrived) : arrived;
    }
    return oldest;
}

std::optional<SteadyTime> WorkspaceLane::lastArrival() const
{
    return m_size == 0 ? std::nullopt : std::optional(m_lastArrival);
}

std::optional<SteadyTime> WorkspaceLane::lastPrompt() const
{
    return m_lastPrompt;
}

WorkspaceLane::Waiting WorkspaceLane::takeOut(Classes::iterator position,
                                              const std::deque<Waiting>::const_iterator &request)
{
    assert(m_size > 0);
    auto &requests = position->second.requests;
    const auto place = requests.begin() + (request - requests.cbegin());
    Waiting taken = std::move(*place);
    requests.erase(place);
    if (requests.empty()) {
        m_classes.erase(position);
    }
    --m_size;
    m_backlog = m_size == 0 ? 0 : m_backlog - taken.request.cost;
    if (m_size == 0) {
        m_lastPrompt.reset();
    }
    return taken;
}

} // namespace Heatherridge
