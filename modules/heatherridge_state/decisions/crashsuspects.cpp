#include "heatherridge_state/decisions/crashsuspects.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Heatherridge
{

CrashSuspects::CrashSuspects(Incarnation self, Options options)
    : m_self(self)
    , m_options(options)
    , m_deaths(self, options.deaths)
{
}

RequestCrashChanges CrashSuspects::recordTargetDeath(const RequestFingerprint &request, const Death &death,
                                                     SteadyTime now)
{
    const auto found = m_suspects.find(request);
    const CrashReport report{.kind = CrashReport::Kind::TargetDied,
                             .request = request,
                             .target = death.target,
                             .reporter = m_self,
                             .reportedAt =
                                 std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()),
                             .progress = death.progress,
                             .wasSuspect = found != m_suspects.end() && found->second.since <= death.sentAt};
    addReport(report, now);
    m_changes.toPublish.emplace_back(report);
    if (const auto blocked = m_suspects.find(request); blocked != m_suspects.end() && blocked->second.trials) {
        // The log may drop the reports and claims before it one after the other.
        publishBlock(request, blocked->second, now);
    }
    return takeChanges();
}

RequestCrashChanges CrashSuspects::recordAnswer(const RequestFingerprint &request, SteadyTime now)
{
    const CrashReport report{.kind = CrashReport::Kind::Answered, .request = request, .reporter = m_self};
    addReport(report, now);
    m_changes.toPublish.emplace_back(report);
    return takeChanges();
}

RequestCrashChanges CrashSuspects::recordProgress(const RequestFingerprint &request, std::uint32_t events,
                                                  SteadyTime now)
{
    const auto found = m_suspects.find(request);
    const bool isBeyond = found != m_suspects.end() && !found->second.deaths.empty() && events > found->second.progress;
    return isBeyond ? recordAnswer(request, now) : RequestCrashChanges{};
}

RequestCrashChanges CrashSuspects::recordRefusal(const RequestFingerprint &request, SteadyTime now)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end() || !found->second.trials) {
        return {};
    }
    auto &suspect = found->second;
    suspect.lastActivity = now;
    if (now - suspect.lastRecord >= m_options.repeatInterval) {
        publishBlock(request, suspect, now);
    }
    return takeChanges();
}

RequestCrashChanges CrashSuspects::claimTrial(const RequestFingerprint &request, SteadyTime now)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end() || !found->second.trials || now < found->second.nextClaim
        || !found->second.trials->isDue(now - claimDelay(request))) {
        return {};
    }
    found->second.nextClaim = now + m_options.claimTimeout;
    m_changes.toPublish.emplace_back(
        RequestTrial{.request = request, .gateway = m_self, .number = found->second.trials->claimed() + 1});
    return takeChanges();
}

bool CrashSuspects::awaitsClaim(const RequestFingerprint &request, SteadyTime now) const
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && found->second.trials && now < found->second.nextClaim
        && found->second.trials->isDue(now);
}

RequestCrashChanges CrashSuspects::apply(const RequestCrashRecord &record, SteadyTime now)
{
    m_readingSince = m_readingSince.value_or(now);
    std::visit([&](const auto &content) { applyRecord(content, now); }, record);
    return takeChanges();
}

void CrashSuspects::applyRecord(const CrashReport &report, SteadyTime now)
{
    if (report.reporter != m_self) { // else recorded when it was made, and perhaps answered since
        addReport(report, now);
    }
}

void CrashSuspects::addReport(const CrashReport &report, SteadyTime now)
{
    if (report.kind == CrashReport::Kind::Answered) {
        clear(report.request, now);
        return;
    }
    const auto [entry, isNew] = m_suspects.try_emplace(report.request);
    auto &suspect = entry->second;
    if (isNew) {
        suspect.since = now;
    }
    const auto death =
        m_deaths.record({.target = report.target, .reporter = report.reporter, .reportedAt = report.reportedAt}, now);
    if (std::find(suspect.deaths.begin(), suspect.deaths.end(), death) == suspect.deaths.end()) {
        suspect.deaths.push_back(death);
    }
    suspect.progress = std::max(suspect.progress, report.progress);
    suspect.hasDiedAgain = suspect.hasDiedAgain || report.wasSuspect;
    suspect.lastActivity = now;
    if (suspect.trials) {
        if (suspect.trials->awaitsResult()) {
            suspect.trials->recordFailure(now);
        }
    } else if (suspect.hasDiedAgain && suspect.deaths.size() >= m_options.deathsToBlock) {
        block(report.request, suspect, now + m_options.trials.firstDelay);
    } else if (suspect.deaths.size() >= m_options.deathsToBlockTogether) {
        block(report.request, suspect, now + m_options.doubtfulTrialDelay);
    }
    if (m_suspects.size() > m_options.maxRequests) {
        evictOldest();
    }
}

void CrashSuspects::applyRecord(const RequestBlocked &record, SteadyTime now)
{
    if (wasClearedLately(record.request, now)) {
        return; // written before its entry read of the answer
    }
    const auto [entry, isNew] = m_suspects.try_emplace(record.request);
    auto &suspect = entry->second;
    if (isNew) {
        suspect.since = now;
    }
    if (!suspect.trials) {
        block(record.request, suspect, now + BlockTrials::delay(m_options.trials, record.failedTrials));
    }
    suspect.trials->applyCounts(record.trials, record.failedTrials);
    if (now - *m_readingSince >= m_options.recordDelay) { // else it may have been in the log for long
        suspect.lastRecord = now;
    }
    suspect.lastActivity = now;
    if (m_suspects.size() > m_options.maxRequests) {
        evictOldest();
    }
}

void CrashSuspects::applyRecord(const RequestTrial &record, SteadyTime now)
{
    const auto found = m_suspects.find(record.request);
    if (found != m_suspects.end() && found->second.trials) {
        found->second.trials->applyClaim(record.number, record.gateway == m_self, now);
    }
}

void CrashSuspects::block(const RequestFingerprint &request, Suspect &suspect, SteadyTime firstTrial)
{
    suspect.trials.emplace(m_options.trials, firstTrial);
    m_changes.blocked.push_back(request);
}

void CrashSuspects::clear(const RequestFingerprint &request, SteadyTime now)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end()) {
        return;
    }
    if (found->second.trials) {
        m_changes.released.push_back(request);
    }
    m_suspects.erase(found);
    m_clearedAt.insert_or_assign(request, now);
}

void CrashSuspects::publishBlock(const RequestFingerprint &request, Suspect &suspect, SteadyTime now)
{
    suspect.lastRecord = now;
    m_changes.toPublish.emplace_back(RequestBlocked{
        .request = request, .trials = suspect.trials->claimed(), .failedTrials = suspect.trials->failed()});
}

bool CrashSuspects::wasClearedLately(const RequestFingerprint &request, SteadyTime now) const
{
    const auto cleared = m_clearedAt.find(request);
    return cleared != m_clearedAt.end() && now - cleared->second < m_options.recordDelay;
}

std::chrono::milliseconds CrashSuspects::claimDelay(const RequestFingerprint &request) const
{
    const std::array<std::uint64_t, 2> seed{toNumber(m_self), request.low};
    const auto jitter = static_cast<std::uint64_t>(m_options.claimJitter.count()) + 1;
    return std::chrono::milliseconds(XXH3_64bits(seed.data(), sizeof(seed)) % jitter);
}

bool CrashSuspects::isSuspect(const RequestFingerprint &request) const
{
    return m_suspects.contains(request);
}

bool CrashSuspects::isBlocked(const RequestFingerprint &request) const
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && found->second.trials;
}

bool CrashSuspects::takeTrial(const RequestFingerprint &request, SteadyTime now)
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && found->second.trials && found->second.trials->take(now);
}

void CrashSuspects::returnTrial(const RequestFingerprint &request)
{
    const auto found = m_suspects.find(request);
    if (found != m_suspects.end() && found->second.trials) {
        found->second.trials->giveBack();
    }
}

bool CrashSuspects::isEmpty() const
{
    return m_suspects.empty();
}

void CrashSuspects::evictExpired(SteadyTime now)
{
    std::erase_if(m_suspects, [&](const auto &entry) { return now - entry.second.lastActivity > m_options.retention; });
    m_deaths.evict(now - m_options.deaths.retention);
    std::erase_if(m_clearedAt, [&](const auto &entry) { return now - entry.second >= m_options.recordDelay; });
}

void CrashSuspects::evictOldest()
{
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &a, const auto &b) {
        return a.second.lastActivity < b.second.lastActivity;
    }));
}

RequestCrashChanges CrashSuspects::takeChanges()
{
    return std::exchange(m_changes, {});
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
