#include "heatherridge_state/decisions/answeredparts.h"

namespace Heatherridge
{

void AnsweredParts::add(PromptPart part, SteadyTime now)
{
    if (const auto found = m_positions.find(part); found != m_positions.end()) {
        found->second->lastAnswer = now;
        m_entries.splice(m_entries.end(), m_entries, found->second);
        return;
    }
    m_entries.push_back({.part = part, .lastAnswer = now});
    m_positions.emplace(part, std::prev(m_entries.end()));
    if (m_entries.size() > m_options.maxParts) {
        dropOldest();
    }
}

bool AnsweredParts::contains(PromptPart part) const
{
    return m_positions.contains(part);
}

void AnsweredParts::evictExpired(SteadyTime now)
{
    while (!m_entries.empty() && now - m_entries.front().lastAnswer > m_options.retention) {
        dropOldest();
    }
}

void AnsweredParts::dropOldest()
{
    m_positions.erase(m_entries.front().part);
    m_entries.pop_front();
}

} // namespace Heatherridge
