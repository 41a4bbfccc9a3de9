#include "heatherridge_state/decisions/workspacequeue.h"

#include <algorithm>
#include <cassert>

namespace Heatherridge
{

void WorkspaceQueue::add(QueuedRequest queued, SteadyTime now)
{
    const ClassKey key{.priority = queued.request.priority, .isLong = queued.isLong};
    const auto [position, isNew] = m_classes.try_emplace(key);
    if (isNew) {
        position->second.agesSince = now;
    }
    if (!m_lastShortWait) {
        m_lastShortWait = now;
    }
    m_lastArrival = now;
    m_backlog += queued.request.cost;
    ++m_size;
    position->second.requests.push_back(std::move(queued));
}

bool WorkspaceQueue::isEmpty(bool allowLong) const
{
    return allowLong
        ? m_size == 0
        : std::all_of(m_classes.begin(), m_classes.end(), [](const auto &entry) { return entry.first.isLong; });
}

std::optional<WorkspaceQueue::QueuedRequest> WorkspaceQueue::pop(SteadyTime now, bool allowLong, bool newestFirst)
{
    auto best = m_classes.end();
    double bestRank = 0;
    for (auto position = m_classes.begin(); position != m_classes.end(); ++position) {
        const auto &[key, priorityClass] = *position;
        if (key.isLong && !allowLong) {
            continue;
        }
        const std::chrono::duration<double> age = now - priorityClass.agesSince;
        const double rank = key.priority - (key.isLong ? 1 : 0) + age / AgeingStep;
        if (best == m_classes.end() || rank > bestRank) {
            best = position;
            bestRank = rank;
        }
    }
    if (best == m_classes.end()) {
        return std::nullopt;
    }
    if (now - *oldestArrival() <= MaxShortWait) {
        m_lastShortWait = now;
    }
    auto &chosen = best->second;
    chosen.agesSince = now;
    return extract(best, newestFirst ? std::prev(chosen.requests.end()) : chosen.requests.begin());
}

std::optional<WorkspaceQueue::QueuedRequest> WorkspaceQueue::popOldest()
{
    const auto oldest = std::min_element(m_classes.begin(), m_classes.end(), [](const auto &a, const auto &b) {
        return a.second.requests.front().arrived < b.second.requests.front().arrived;
    });
    if (oldest == m_classes.end()) {
        return std::nullopt;
    }
    return extract(oldest, oldest->second.requests.begin());
}

std::optional<WorkspaceQueue::QueuedRequest> WorkspaceQueue::remove(const RequestId &id)
{
    for (auto position = m_classes.begin(); position != m_classes.end(); ++position) {
        auto &requests = position->second.requests;
        const auto request = std::find_if(requests.begin(), requests.end(),
                                          [&id](const auto &queued) { return queued.request.id == id; });
        if (request != requests.end()) {
            return extract(position, request);
        }
    }
    return std::nullopt;
}

std::optional<WorkspaceQueue::QueuedRequest> WorkspaceQueue::popExpired(SteadyTime now)
{
    for (auto position = m_classes.begin(); position != m_classes.end(); ++position) {
        auto &requests = position->second.requests;
        const auto request = std::find_if(requests.begin(), requests.end(),
                                          [now](const auto &queued) { return queued.latestStart < now; });
        if (request != requests.end()) {
            return extract(position, request);
        }
    }
    return std::nullopt;
}

std::optional<SteadyTime> WorkspaceQueue::earliestLatestStart() const
{
    std::optional<SteadyTime> earliest;
    for (const auto &[key, priorityClass] : m_classes) {
        for (const auto &queued : priorityClass.requests) {
            earliest = earliest ? std::min(*earliest, queued.latestStart) : queued.latestStart;
        }
    }
    return earliest;
}

int WorkspaceQueue::highestPriority() const
{
    return m_classes.empty() ? 0 : m_classes.rbegin()->first.priority;
}

double WorkspaceQueue::backlog() const
{
    return m_backlog;
}

std::size_t WorkspaceQueue::size() const
{
    return m_size;
}

std::optional<SteadyTime> WorkspaceQueue::oldestArrival() const
{
    std::optional<SteadyTime> oldest;
    for (const auto &[key, priorityClass] : m_classes) {
        const auto arrived = priorityClass.requests.front().arrived;
        oldest = oldest ? std::min(*oldest, arrived) : arrived;
    }
    return oldest;
}

std::optional<SteadyTime> WorkspaceQueue::lastArrival() const
{
    return m_size == 0 ? std::nullopt : std::optional(m_lastArrival);
}

std::optional<SteadyTime> WorkspaceQueue::lastShortWait() const
{
    return m_lastShortWait;
}

WorkspaceQueue::QueuedRequest WorkspaceQueue::extract(Classes::iterator position,
                                                      const std::deque<QueuedRequest>::const_iterator &request)
{
    assert(m_size > 0);
    auto &requests = position->second.requests;
    const auto element = requests.begin() + (request - requests.cbegin());
    QueuedRequest extracted = std::move(*element);
    requests.erase(element);
    if (requests.empty()) {
        m_classes.erase(position);
    }
    --m_size;
    m_backlog = m_size == 0 ? 0 : m_backlog - extracted.request.cost;
    if (m_size == 0) {
        m_lastShortWait.reset();
    }
    return extracted;
}

} // namespace Heatherridge
