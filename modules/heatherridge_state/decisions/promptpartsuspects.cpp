#include "heatherridge_state/decisions/promptpartsuspects.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds EvictionInterval{1'000};
constexpr std::size_t EvictedFraction = 8; ///< one in so many is evicted at a time, so that evictions are rare

/** Spreads the times at which gateways publish the same record. */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdU;
    value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53U;
    return value ^ (value >> 33U);
}

/** Compares times of another process, which may be any numbers, without overflow. */
bool isWithin(std::chrono::milliseconds a, std::chrono::milliseconds b, std::chrono::milliseconds gap)
{
    return std::abs(static_cast<double>(a.count()) - static_cast<double>(b.count())) < static_cast<double>(gap.count());
}

} // namespace

PromptPartSuspects::PromptPartSuspects(Incarnation self, Options options)
    : m_self(self)
    , m_options(options)
    , m_answered(options.answered)
{
}

bool PromptPartSuspects::isIdle() const
{
    return m_suspects.empty() && m_blocks.empty();
}

std::optional<PromptPart> PromptPartSuspects::blockedPart(std::span<const PromptPart> parts) const
{
    const auto found = std::find_if(parts.begin(), parts.end(), [&](auto part) { return m_blocks.contains(part); });
    return found == parts.end() ? std::nullopt : std::optional(*found);
}

bool PromptPartSuspects::isSuspect(std::span<const PromptPart> parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](auto part) {
        const auto found = m_suspects.find(part);
        return found != m_suspects.end() && !isAnswered(part, found->second) && !countedDeaths(found->second).empty();
    });
}

std::size_t PromptPartSuspects::deathCount(PromptPart part) const
{
    const auto found = m_suspects.find(part);
    return found == m_suspects.end() ? 0 : countedDeaths(found->second).size();
}

PromptPartChanges PromptPartSuspects::recordTargetDeath(const TargetName &target, std::span<const PromptPart> parts,
                                                        std::uint32_t progress, SteadyTime now)
{
    if (parts.empty() || progress > m_options.maxProgress) {
        return {};
    }
    PromptPartsDeath report{.reporter = m_self,
                            .reportedAt = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()),
                            .target = target,
                            .progress = progress};
    for (const auto part : parts.first(std::min(parts.size(), m_options.maxPartsPerReport))) {
        report.parts.push_back({.part = part, .wasAnswered = m_answered.contains(part)});
    }
    applyRecord(report, now);
    m_changes.toPublish.emplace_back(std::move(report));
    updateVerdicts(now);
    return takeChanges();
}

PromptPartChanges PromptPartSuspects::recordAnswer(std::span<const PromptPart> parts, std::uint32_t progress,
                                                   bool isComplete, SteadyTime now)
{
    ++m_answerCount;
    PromptPartsAnswered released;
    for (const auto part : parts) {
        const auto found = m_suspects.find(part);
        const bool isSuspected = found != m_suspects.end();
        if (isSuspected && !isComplete && progress <= found->second.maxProgress) {
            continue; // not beyond the point at which the targets died
        }
        m_answered.add(part, now);
        if (m_blocks.contains(part)) {
            released.parts.push_back(part);
            clear(part, now);
            continue;
        }
        if (isSuspected) {
            found->second.lastAnswer = now;
            found->second.wasAnswered = true;
            found->second.answersBefore = m_answerCount;
            if (unexplainedDeaths(found->second).size() > 1) {
                schedule(RecordKind::Answered, part, now);
            }
        }
    }
    if (!released.parts.empty()) {
        m_changes.toPublish.emplace_back(std::move(released));
        updateVerdicts(now);
    }
    return takeChanges();
}

PromptPartChanges PromptPartSuspects::recordRefusal(std::span<const PromptPart> parts, SteadyTime now)
{
    for (const auto part : parts) {
        const auto found = m_blocks.find(part);
        if (found == m_blocks.end()) {
            continue;
        }
        auto &block = found->second;
        block.lastActivity = now;
        if (now - block.lastRecord >= m_options.repeatInterval) {
            schedule(RecordKind::Blocked, part, now);
        }
        if (block.trials < m_options.maxTrials && now >= block.nextTrial) {
            schedule(RecordKind::Trial, part, now);
        }
    }
    return takeChanges();
}

bool PromptPartSuspects::takeTrial(std::span<const PromptPart> parts)
{
    auto onlyBlock = m_blocks.end();
    for (const auto part : parts) {
        const auto found = m_blocks.find(part);
        if (found == m_blocks.end() || found == onlyBlock) {
            continue;
        }
        if (onlyBlock != m_blocks.end()) {
            return false;
        }
        onlyBlock = found;
    }
    return onlyBlock != m_blocks.end() && std::exchange(onlyBlock->second.mayTry, false);
}

PromptPartChanges PromptPartSuspects::apply(std::span<const PromptPartRecord> records, SteadyTime now)
{
    for (const auto &record : records) {
        std::visit([&](const auto &content) { applyRecord(content, now); }, record);
    }
    updateVerdicts(now);
    return takeChanges();
}

PromptPartChanges PromptPartSuspects::tick(SteadyTime now)
{
    if (now >= m_nextEviction) {
        m_nextEviction = now + EvictionInterval;
        evictExpired(now);
    }
    if (!isIdle()) {
        updateVerdicts(now); // answers to other requests may have made a verdict possible
        publishDue(now);
    }
    return takeChanges();
}

void PromptPartSuspects::applyRecord(const PromptPartsDeath &report, SteadyTime now)
{
    const auto death = deathFor(report, now);
    const auto count = std::min(report.parts.size(), m_options.maxPartsPerReport);
    for (std::size_t position = 0; position < count; ++position) {
        const auto &inHand = report.parts[position];
        addDeath(inHand, position, report.progress, death, now);
        const auto found = m_blocks.find(inHand.part);
        if (found == m_blocks.end()) {
            continue;
        }
        found->second.lastActivity = now;
        if (report.reporter != m_self) { // which may not know that it is blocked
            schedule(RecordKind::Blocked, inHand.part,
                     std::max(now, found->second.lastRecord + m_options.minRepeatInterval));
        }
    }
    if (m_suspects.size() > m_options.maxSuspects) {
        evictSuspects();
    }
}

void PromptPartSuspects::applyRecord(const PromptPartsAnswered &record, SteadyTime now)
{
    for (const auto part : record.parts) {
        clear(part, now);
    }
}

void PromptPartSuspects::applyRecord(const PromptPartBlocked &record, SteadyTime now)
{
    const auto part = record.part;
    if (const auto found = m_suspects.find(part); found != m_suspects.end() && found->second.lastAnswer) {
        if (countedDeaths(found->second).empty()) {
            schedule(RecordKind::Answered, part, now); // answered here since
            return;
        }
    }
    const auto cleared = m_clearedAt.find(part);
    if (cleared != m_clearedAt.end() && now - cleared->second < m_options.sameDeathArrival
        && deathCount(part) < m_options.deathsToBlock) {
        return; // written before its gateway read of the answer
    }
    m_pending.erase({.kind = RecordKind::Blocked, .part = part});
    const auto [entry, isNew] = m_blocks.try_emplace(part);
    auto &block = entry->second;
    if (isNew) {
        block.nextTrial = now + trialDelay(record.trials);
        m_changes.blocked.push_back(part);
    }
    block.trials = std::max(block.trials, record.trials);
    block.lastActivity = now;
    block.lastRecord = now;
}

void PromptPartSuspects::applyRecord(const PromptPartTrial &record, SteadyTime now)
{
    const auto found = m_blocks.find(record.part);
    if (found == m_blocks.end() || record.number <= found->second.trials) {
        return;
    }
    m_pending.erase({.kind = RecordKind::Trial, .part = record.part});
    auto &block = found->second;
    block.trials = record.number;
    block.nextTrial = now + trialDelay(record.number);
    block.mayTry = record.gateway == m_self;
}

PromptPartSuspects::DeathPointer PromptPartSuspects::deathFor(const PromptPartsDeath &report, SteadyTime now)
{
    auto &deaths = m_deathsByTarget[report.target];
    auto unreported = deaths.begin(); // the first death after the last one that this gateway reported
    for (auto death = deaths.begin(); death != deaths.end(); ++death) {
        const auto found = (*death)->reportedAt.find(report.reporter);
        if (found == (*death)->reportedAt.end()) {
            continue;
        }
        if (isWithin(found->second, report.reportedAt, m_options.sameDeathGap)) {
            return *death;
        }
        unreported = death + 1;
    }
    // A report of this gateway is not late; those of others may have waited for the log.
    const auto maxAge = report.reporter == m_self ? m_options.sameDeathGap : m_options.sameDeathArrival;
    const auto same =
        std::find_if(unreported, deaths.end(), [&](const auto &death) { return now - death->time < maxAge; });
    if (same != deaths.end()) {
        (*same)->reportedAt.emplace(report.reporter, report.reportedAt);
        return *same;
    }
    auto death = std::make_shared<Death>(Death{.time = now, .reportedAt = {{report.reporter, report.reportedAt}}});
    deaths.push_back(death);
    if (++m_deathCount > m_options.maxDeaths) {
        evictDeaths(now - m_options.retention);
    }
    return death;
}

void PromptPartSuspects::addDeath(const PromptPartInHand &inHand, std::size_t position, std::uint32_t progress,
                                  const DeathPointer &death, SteadyTime now)
{
    const auto cleared = m_clearedAt.find(inHand.part);
    if (cleared != m_clearedAt.end() && death->time <= cleared->second) {
        return;
    }
    const auto [entry, isNew] = m_suspects.try_emplace(inHand.part);
    auto &suspect = entry->second;
    if (isNew) {
        suspect.answersBefore = m_answerCount;
    }
    suspect.wasAnswered = suspect.wasAnswered || inHand.wasAnswered;
    suspect.maxProgress = std::max(suspect.maxProgress, progress);
    suspect.position = std::max(suspect.position, position);
    if (std::find(suspect.deaths.begin(), suspect.deaths.end(), death) != suspect.deaths.end()) {
        return;
    }
    suspect.deaths.push_back(death);
    if (suspect.deaths.size() >= m_options.deathsToBlock) {
        m_candidates.insert(inHand.part);
    }
    if (suspect.lastAnswer && unexplainedDeaths(suspect).size() > 1) {
        schedule(RecordKind::Answered, inHand.part, now);
    }
}

PromptPartSuspects::Deaths PromptPartSuspects::unexplainedDeaths(const Suspect &suspect) const
{
    Deaths deaths;
    std::copy_if(suspect.deaths.begin(), suspect.deaths.end(), std::back_inserter(deaths),
                 [&](const auto &death) { return !m_explained.contains(death); });
    return deaths;
}

PromptPartSuspects::Deaths PromptPartSuspects::countedDeaths(const Suspect &suspect) const
{
    auto deaths = unexplainedDeaths(suspect);
    std::erase_if(deaths, [&](const auto &death) { return suspect.lastAnswer && death->time <= *suspect.lastAnswer; });
    return deaths;
}

std::size_t PromptPartSuspects::episodeCount(const Deaths &deaths) const
{
    std::size_t count = 0;
    SteadyTime start{};
    for (const auto &death : deaths) {
        if (count == 0 || death->time - start >= m_options.episodeGap) {
            ++count;
            start = death->time;
        }
    }
    return count;
}

bool PromptPartSuspects::isAnswered(PromptPart part, const Suspect &suspect) const
{
    return suspect.wasAnswered || m_answered.contains(part);
}

bool PromptPartSuspects::mayBlock(PromptPart part, const Suspect &suspect, const Deaths &counted) const
{
    if (!isAnswered(part, suspect)) {
        return counted.size() >= m_options.deathsToBlock;
    }
    return counted.size() >= m_options.deathsToBlockAnswered
        && episodeCount(counted) >= m_options.episodesToBlockAnswered
        && m_answerCount - suspect.answersBefore >= m_options.answersOfOthersToBlock;
}

std::optional<PromptPart> PromptPartSuspects::nextCulprit(const std::set<PromptPart> &found) const
{
    std::optional<PromptPart> culprit;
    std::tuple<bool, std::size_t, bool, std::size_t, std::uint64_t> best{};
    for (const auto part : m_candidates) {
        const auto &suspect = m_suspects.at(part);
        const auto counted = countedDeaths(suspect);
        if (found.contains(part) || !mayBlock(part, suspect, counted)) {
            continue;
        }
        const std::tuple rank{!isAnswered(part, suspect), counted.size(), m_blocks.contains(part), suspect.position,
                              toNumber(part)};
        if (!culprit || rank > best) {
            culprit = part;
            best = rank;
        }
    }
    return culprit;
}

void PromptPartSuspects::explainDeathsOf(PromptPart part)
{
    if (const auto found = m_suspects.find(part); found != m_suspects.end()) {
        m_explained.insert(found->second.deaths.begin(), found->second.deaths.end());
    }
}

void PromptPartSuspects::updateVerdicts(SteadyTime now)
{
    // Derived anew from all deaths, so that the order in which reports arrive does not matter.
    m_explained.clear();
    std::set<PromptPart> found; // those that are blocked whatever the deaths known here say, then the culprits
    for (const auto &[part, block] : m_blocks) {
        const auto suspect = m_suspects.find(part);
        if (suspect != m_suspects.end() && !mayBlock(part, suspect->second, countedDeaths(suspect->second))) {
            found.insert(part);
        }
    }
    for (const auto part : found) {
        explainDeathsOf(part);
    }
    while (const auto culprit = nextCulprit(found)) {
        found.insert(*culprit);
        block(*culprit, countedDeaths(m_suspects.at(*culprit)), now);
        explainDeathsOf(*culprit);
    }
    releaseExplained(found, now);
}

void PromptPartSuspects::releaseExplained(const std::set<PromptPart> &found, SteadyTime now)
{
    for (const auto &[part, block] : m_blocks) {
        if (!block.isOwnVerdict || found.contains(part) || !m_candidates.contains(part)) {
            continue;
        }
        if (unexplainedDeaths(m_suspects.at(part)).empty()) {
            schedule(RecordKind::Answered, part, now);
        } else {
            explainDeathsOf(part);
        }
    }
}

void PromptPartSuspects::block(PromptPart part, const Deaths &counted, SteadyTime now)
{
    const auto [entry, isNew] = m_blocks.try_emplace(part);
    auto &block = entry->second;
    block.isOwnVerdict = true;
    if (!isNew) {
        return;
    }
    const bool isDoubtful = episodeCount(counted) < 2;
    block.lastActivity = now;
    block.lastRecord = now;
    block.nextTrial = now + (isDoubtful ? m_options.doubtfulTrialDelay : trialDelay(0));
    m_pending.erase({.kind = RecordKind::Answered, .part = part});
    schedule(RecordKind::Blocked, part, now);
    m_changes.blocked.push_back(part);
}

void PromptPartSuspects::clear(PromptPart part, SteadyTime now)
{
    const bool wasSuspect = m_suspects.erase(part) > 0;
    m_candidates.erase(part);
    if (m_blocks.erase(part) > 0) {
        m_changes.released.push_back(part);
    } else if (!wasSuspect) {
        return;
    }
    m_answered.add(part, now);
    m_clearedAt.insert_or_assign(part, now);
    for (const auto kind : {RecordKind::Answered, RecordKind::Blocked, RecordKind::Trial}) {
        m_pending.erase({.kind = kind, .part = part});
    }
}

std::chrono::milliseconds PromptPartSuspects::trialDelay(std::uint32_t trials) const
{
    auto delay = m_options.firstTrialDelay;
    for (std::uint32_t trial = 0; trial < std::min<std::uint32_t>(trials, m_options.maxTrials); ++trial) {
        delay *= m_options.trialDelayGrowth;
    }
    return delay;
}

void PromptPartSuspects::schedule(RecordKind kind, PromptPart part, SteadyTime earliest)
{
    const auto jitter = static_cast<std::uint64_t>(m_options.publishJitter.count()) + 1;
    const auto delay = mix(toNumber(m_self) ^ mix(toNumber(part))) % jitter;
    m_pending.try_emplace({.kind = kind, .part = part}, earliest + std::chrono::milliseconds(delay));
}

void PromptPartSuspects::publishDue(SteadyTime now)
{
    PromptPartsAnswered answered;
    const auto pending = m_pending;
    for (const auto &[record, due] : pending) {
        if (now < due) {
            continue;
        }
        m_pending.erase(record);
        const auto found = m_blocks.find(record.part);
        if (record.kind == RecordKind::Answered) {
            answered.parts.push_back(record.part);
            clear(record.part, now);
        } else if (found != m_blocks.end() && record.kind == RecordKind::Blocked) {
            found->second.lastRecord = now;
            m_changes.toPublish.emplace_back(PromptPartBlocked{.part = record.part, .trials = found->second.trials});
        } else if (found != m_blocks.end()) {
            m_changes.toPublish.emplace_back(
                PromptPartTrial{.part = record.part, .gateway = m_self, .number = found->second.trials + 1});
        }
    }
    if (!answered.parts.empty()) {
        m_changes.toPublish.emplace_back(std::move(answered));
        updateVerdicts(now);
    }
}

void PromptPartSuspects::evictExpired(SteadyTime now)
{
    const auto oldest = now - m_options.retention;
    m_answered.evictExpired(now);
    evictDeaths(oldest);
    for (auto &[part, suspect] : m_suspects) {
        std::erase_if(suspect.deaths, [&](const auto &death) { return death->time < oldest; });
        if (suspect.deaths.size() < m_options.deathsToBlock) {
            m_candidates.erase(part);
        }
    }
    std::erase_if(m_suspects, [](const auto &entry) { return entry.second.deaths.empty(); });
    std::erase_if(m_clearedAt, [&](const auto &entry) { return entry.second < oldest; });
    std::erase_if(m_blocks, [&](const auto &entry) {
        const bool isExpired = entry.second.lastActivity < oldest;
        if (isExpired) {
            m_changes.released.push_back(entry.first);
        }
        return isExpired;
    });
}

void PromptPartSuspects::evictSuspects()
{
    std::vector<std::tuple<bool, SteadyTime, PromptPart>> order; // those with one death first, oldest first
    for (const auto &[part, suspect] : m_suspects) {
        if (!m_blocks.contains(part)) {
            order.emplace_back(suspect.deaths.size() > 1, suspect.deaths.back()->time, part);
        }
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), m_options.maxSuspects / EvictedFraction + 1));
    for (const auto &[isRepeated, lastDeath, part] : order) {
        m_suspects.erase(part);
        m_candidates.erase(part);
    }
}

void PromptPartSuspects::evictDeaths(SteadyTime olderThan)
{
    if (m_deathCount > m_options.maxDeaths) {
        std::vector<SteadyTime> times;
        for (const auto &[target, deaths] : m_deathsByTarget) {
            std::transform(deaths.begin(), deaths.end(), std::back_inserter(times),
                           [](const auto &death) { return death->time; });
        }
        const auto last = times.begin() + static_cast<std::ptrdiff_t>(m_deathCount / EvictedFraction);
        std::nth_element(times.begin(), last, times.end());
        olderThan = std::max(olderThan, *last);
    }
    m_deathCount = 0;
    for (auto &[target, deaths] : m_deathsByTarget) {
        std::erase_if(deaths, [&](const auto &death) { return death->time < olderThan; });
        m_deathCount += deaths.size();
    }
    std::erase_if(m_deathsByTarget, [](const auto &entry) { return entry.second.empty(); });
}

PromptPartChanges PromptPartSuspects::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace Heatherridge
