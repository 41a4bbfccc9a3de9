#include "heatherridge_state/routing/targetdirectory.h"

namespace Heatherridge
{

namespace
{

bool isSameRun(const TargetRecord &a, const TargetRecord &b)
{
    return a.entry.startedAt == b.entry.startedAt;
}

} // namespace

void TargetDirectory::noteRegisterReadable(SteadyTime now)
{
    if (!m_isRegisterReadable) {
        m_isRegisterReadable = true;
        m_readableSince = now;
    }
}

void TargetDirectory::noteRegisterUnreadable(SteadyTime)
{
    m_hadOutage = m_hadOutage || m_isRegisterReadable;
    m_isRegisterReadable = false;
}

void TargetDirectory::noteRegisterRestored(SteadyTime now)
{
    m_restoredAt = now;
    // Targets that registered after the copy was made are missing until they write their entries again.
    m_hadOutage = true;
    m_readableSince = now;
}

void TargetDirectory::put(const TargetRecord &record, SteadyTime now)
{
    if (isStale(record, now)) {
        return;
    }
    const auto &entry = record.entry;
    // A restarted target registers under a new id; its previous run stays registered until it misses heartbeats.
    for (auto known = m_entries.begin(); known != m_entries.end();) {
        const auto next = std::next(known);
        if (known->second.entry.address == entry.address && known->first != entry.id) {
            markDeparted(known, now);
        }
        known = next;
    }
    m_lapsed.erase(entry.id);
    m_departed.erase(entry.id);
    m_entries.insert_or_assign(entry.id, record);
}

void TargetDirectory::remove(const TargetName &id, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    if (isRegisterStable(now) || found->second.entry.isDraining) {
        markDeparted(found, now);
        return;
    }
    m_lapsed.insert(id);
}

void TargetDirectory::replaceAll(const std::vector<TargetRecord> &records, SteadyTime now)
{
    std::set<TargetName> listed;
    for (const auto &record : records) {
        listed.insert(record.entry.id);
        put(record, now);
    }
    for (const auto &entry : targets()) {
        if (!listed.contains(entry.id)) {
            remove(entry.id, now);
        }
    }
}

bool TargetDirectory::expireLapsed(SteadyTime now)
{
    std::erase_if(m_departed, [now](const auto &entry) { return now - entry.second.at > DepartureRetention; });
    if (m_lapsed.empty() || !isRegisterStable(now)) {
        return false;
    }
    for (const auto &id : std::exchange(m_lapsed, {})) {
        // The entry is already removed if another target has registered at its address in the meantime.
        if (const auto found = m_entries.find(id); found != m_entries.end()) {
            markDeparted(found, now);
        }
    }
    return true;
}

std::vector<TargetEntry> TargetDirectory::targets() const
{
    std::vector<TargetEntry> all;
    all.reserve(m_entries.size());
    for (const auto &[id, record] : m_entries) {
        all.push_back(record.entry);
    }
    return all;
}

std::size_t TargetDirectory::lapsedCount() const
{
    return m_lapsed.size();
}

bool TargetDirectory::isRegisterStable(SteadyTime now) const
{
    return m_isRegisterReadable && m_readableSince && (!m_hadOutage || now - *m_readableSince >= LapseGrace);
}

bool TargetDirectory::isStale(const TargetRecord &record, SteadyTime now) const
{
    if (!m_restoredAt || now - *m_restoredAt >= RestoreGrace) {
        return false;
    }
    if (const auto known = m_entries.find(record.entry.id); known != m_entries.end()) {
        return isSameRun(record, known->second) && record.revision < known->second.revision;
    }
    const auto departed = m_departed.find(record.entry.id);
    return departed != m_departed.end() && isSameRun(record, departed->second.record)
        && record.revision <= departed->second.record.revision;
}

void TargetDirectory::markDeparted(std::map<TargetName, TargetRecord>::iterator entry, SteadyTime now)
{
    m_lapsed.erase(entry->first);
    m_departed.insert_or_assign(entry->first, Departure{.record = std::move(entry->second), .at = now});
    m_entries.erase(entry);
}

} // namespace Heatherridge
