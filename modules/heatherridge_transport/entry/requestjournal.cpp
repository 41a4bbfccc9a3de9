#include "heatherridge_transport/entry/requestjournal.h"

namespace Heatherridge
{

void RequestJournal::record(const RequestId &id, std::string event, const TargetName &target, std::string reason)
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    auto [entry, isNew] = m_entries.try_emplace(id, JournalEntry{.arrived = now});
    if (isNew) {
        m_order.push_back(id);
        if (m_order.size() > MaxRequests) {
            m_entries.erase(m_order.front());
            m_order.pop_front();
            entry = m_entries.find(id);
        }
    }
    auto &steps = entry->second.steps;
    if (steps.size() < MaxSteps) {
        steps.push_back({.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry->second.arrived),
                         .event = std::move(event),
                         .target = target,
                         .reason = std::move(reason)});
    }
}

void RequestJournal::finish(const RequestId &id, std::string outcome)
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_entries.find(id);
    if (entry != m_entries.end()) {
        entry->second.outcome = std::move(outcome);
    }
}

std::optional<JournalEntry> RequestJournal::find(const RequestId &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_entries.find(id);
    return entry == m_entries.end() ? std::nullopt : std::optional(entry->second);
}

} // namespace Heatherridge
