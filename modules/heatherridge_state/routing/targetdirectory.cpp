#include "heatherridge_state/routing/targetdirectory.h"

namespace Heatherridge
{

void TargetDirectory::readable(SteadyTime now)
{
    if (!m_readable) {
        m_readable = true;
        m_readableSince = now;
    }
}

void TargetDirectory::unreadable(SteadyTime)
{
    m_hadOutage = m_hadOutage || m_readable;
    m_readable = false;
}

void TargetDirectory::put(const TargetEntry &entry)
{
    // A target that starts anew takes another id; its last run stays registered until its heartbeats are missed.
    std::erase_if(m_entries, [&entry](const auto &known) {
        return known.second.address == entry.address && known.first != entry.id;
    });
    m_lapsed.erase(entry.id);
    m_entries.insert_or_assign(entry.id, entry);
}

void TargetDirectory::remove(const TargetName &id, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    if (isCalm(now) || found->second.isDraining) {
        m_entries.erase(found);
        m_lapsed.erase(id);
        return;
    }
    m_lapsed.insert(id);
}

void TargetDirectory::replace(const std::vector<TargetEntry> &entries, SteadyTime now)
{
    std::set<TargetName> listed;
    for (const auto &entry : entries) {
        listed.insert(entry.id);
        put(entry);
    }
    for (const auto &entry : targets()) {
        if (!listed.contains(entry.id)) {
            remove(entry.id, now);
        }
    }
}

bool TargetDirectory::tick(SteadyTime now)
{
    if (m_lapsed.empty() || !isCalm(now)) {
        return false;
    }
    for (const auto &id : m_lapsed) {
        m_entries.erase(id); // nothing is there when its address has been taken over meanwhile
    }
    m_lapsed.clear();
    return true;
}

std::vector<TargetEntry> TargetDirectory::targets() const
{
    std::vector<TargetEntry> all;
    all.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        all.push_back(entry);
    }
    return all;
}

std::size_t TargetDirectory::lapsedCount() const
{
    return m_lapsed.size();
}

bool TargetDirectory::isCalm(SteadyTime now) const
{
    return m_readable && m_readableSince && (!m_hadOutage || now - *m_readableSince >= LapseGrace);
}

} // namespace Heatherridge
