#include "heatherridge_state/decisions/crashsuspects.h"

#include <algorithm>

namespace Heatherridge
{

CrashSuspects::CrashSuspects(Options options)
    : m_options(options)
{
}

bool CrashSuspects::record(const CrashReport &report, SteadyTime now)
{
    if (report.kind == CrashReport::Kind::Answered) {
        m_suspects.erase(report.request);
        return false;
    }
    auto &suspect = m_suspects[report.request];
    const bool wasBlocked = isBlocked(suspect);
    suspect.deadTargets.insert(report.target);
    suspect.lastReport = now;
    suspect.lastActivity = now;
    const bool isNewlyBlocked = !wasBlocked && isBlocked(suspect);
    if (m_suspects.size() > m_options.maxRequests) {
        evictOldest();
    }
    return isNewlyBlocked;
}

bool CrashSuspects::isSuspect(const RequestFingerprint &request) const
{
    return m_suspects.contains(request);
}

bool CrashSuspects::isBlocked(const RequestFingerprint &request) const
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && isBlocked(found->second);
}

bool CrashSuspects::isBlocked(const Suspect &suspect) const
{
    return suspect.deadTargets.size() >= m_options.deathsToBlock;
}

bool CrashSuspects::isEmpty() const
{
    return m_suspects.empty();
}

std::vector<CrashReport> CrashSuspects::recordRefusal(const RequestFingerprint &request, SteadyTime now)
{
    std::vector<CrashReport> reports;
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end()) {
        return reports;
    }
    auto &suspect = found->second;
    suspect.lastActivity = now;
    if (now - suspect.lastReport < m_options.repeatInterval) {
        return reports;
    }
    suspect.lastReport = now;
    for (auto target = suspect.deadTargets.begin();
         target != suspect.deadTargets.end() && reports.size() < m_options.deathsToBlock; ++target) {
        reports.push_back({.kind = CrashReport::Kind::TargetDied, .request = request, .target = *target});
    }
    return reports;
}

void CrashSuspects::evictExpired(SteadyTime now)
{
    std::erase_if(m_suspects, [&](const auto &entry) { return now - entry.second.lastActivity > m_options.retention; });
}

void CrashSuspects::evictOldest()
{
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &a, const auto &b) {
        return a.second.lastActivity < b.second.lastActivity;
    }));
}

void SuspectTargets::add(const TargetName &target)
{
    m_targets.insert(target);
}

void SuspectTargets::remove(const TargetName &target)
{
    if (const auto found = m_targets.find(target); found != m_targets.end()) {
        m_targets.erase(found);
    }
}

std::set<TargetName> SuspectTargets::targetsToAvoid(std::set<TargetName> tried) const
{
    tried.insert(m_targets.begin(), m_targets.end());
    return tried;
}

} // namespace Heatherridge
