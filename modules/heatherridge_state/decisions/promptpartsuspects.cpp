#include "heatherridge_state/decisions/promptpartsuspects.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds EvictionInterval{1'000};
constexpr std::chrono::milliseconds HeldUpdateInterval{50};
constexpr std::size_t EvictedFraction = 8; ///< one in so many is evicted at a time, so that evictions are rare

/** Spreads the times at which gateways publish the same record. */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdU;
    value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53U;
    return value ^ (value >> 33U);
}

/** Identifies the prompt, apart from its last part. */
std::uint64_t hashOf(const std::vector<PromptPartInHand> &parts)
{
    std::uint64_t hash = 0;
    for (const auto &inHand : parts) {
        hash = mix(hash + toNumber(inHand.part));
    }
    return hash;
}

} // namespace

PromptPartSuspects::PromptPartSuspects(Incarnation self, Options options)
    : m_self(self)
    , m_options(options)
    , m_answered(options.answered)
    , m_deaths(self, options.deaths)
    , m_held(self, options.held)
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

std::optional<PromptPart> PromptPartSuspects::heldPart(std::span<const PromptPart> parts) const
{
    return m_held.leadingPart(parts);
}

bool PromptPartSuspects::mayStart(std::span<const PromptPart> parts, SteadyTime now)
{
    const auto part = m_held.leadingPart(parts);
    if (!part) {
        return true;
    }
    const auto permission = m_held.takePermission(*part, now);
    if (permission == HeldParts::Permission::NeedsClaim) {
        schedule(RecordKind::Trial, *part, now);
    }
    return permission == HeldParts::Permission::Granted;
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
        if (m_blocks.contains(part) || m_held.contains(part)) {
            released.parts.push_back(part);
            clear(part, now);
            continue;
        }
        if (isSuspected) {
            found->second.lastAnswer = now;
            found->second.wasAnswered = true;
            found->second.answersBefore = m_answerCount;
            if (mayPublishAnswer(found->second)) {
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
        if (block.trials.isDue(now) && onlyBlock(parts) == found) {
            schedule(RecordKind::Trial, part, now);
        }
    }
    return takeChanges();
}

bool PromptPartSuspects::takeTrial(std::span<const PromptPart> parts, SteadyTime now)
{
    const auto block = onlyBlock(parts);
    return block != m_blocks.end() && block->second.trials.take(now);
}

void PromptPartSuspects::returnTrial(PromptPart part)
{
    const auto found = m_blocks.find(part);
    if (found == m_blocks.end()) {
        m_held.returnPermission(part);
        return;
    }
    found->second.trials.giveBack();
}

std::map<PromptPart, PromptPartSuspects::Block>::iterator
PromptPartSuspects::onlyBlock(std::span<const PromptPart> parts)
{
    auto only = m_blocks.end();
    for (const auto part : parts) {
        const auto found = m_blocks.find(part);
        if (found == m_blocks.end() || found == only) {
            continue;
        }
        if (only != m_blocks.end()) {
            return m_blocks.end();
        }
        only = found;
    }
    return only;
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
    const auto death =
        m_deaths.record({.target = report.target, .reporter = report.reporter, .reportedAt = report.reportedAt}, now);
    m_held.recordDeath(report.parts, report.reporter, death->time);
    const auto count = std::min(report.parts.size(), m_options.maxPartsPerReport);
    for (std::size_t index = 0; index < count; ++index) {
        addDeath(report, index, death, now);
        const auto part = report.parts[index].part;
        const auto found = m_blocks.find(part);
        if (found == m_blocks.end()) {
            continue;
        }
        found->second.lastActivity = now;
        recordFailedTrial(found->second, death, now);
        if (report.reporter != m_self) { // which may not know that it is blocked
            schedule(RecordKind::Blocked, part, std::max(now, found->second.lastRecord + m_options.minRepeatInterval));
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
    if (cleared != m_clearedAt.end() && now - cleared->second < m_options.deaths.sameDeathArrival
        && deathCount(part) < m_options.deathsToBlock) {
        return; // written before its gateway read of the answer
    }
    m_pending.erase({.kind = RecordKind::Blocked, .part = part});
    const auto firstTrial = now + BlockTrials::delay(m_options.trials, record.failedTrials);
    const auto [entry, isNew] = m_blocks.try_emplace(part, Block{.trials = BlockTrials(m_options.trials, firstTrial)});
    auto &block = entry->second;
    if (isNew) {
        m_changes.blocked.push_back(part);
    }
    block.trials.applyCounts(record.trials, record.failedTrials);
    block.lastActivity = now;
    block.lastRecord = now;
}

void PromptPartSuspects::applyRecord(const PromptPartTrial &record, SteadyTime now)
{
    const auto found = m_blocks.find(record.part);
    const auto isValid = found == m_blocks.end()
        ? m_held.applyClaim(record, now)
        : found->second.trials.applyClaim(record.number, record.gateway == m_self, now);
    if (isValid) {
        m_pending.erase({.kind = RecordKind::Trial, .part = record.part});
    }
}

void PromptPartSuspects::addDeath(const PromptPartsDeath &report, std::size_t index, const DeathPointer &death,
                                  SteadyTime now)
{
    const auto &inHand = report.parts[index];
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
    suspect.isMarkedAnswered = suspect.isMarkedAnswered || inHand.wasAnswered;
    suspect.isFirstPart = suspect.isFirstPart || index == 0;
    suspect.isReportedHere = suspect.isReportedHere || report.reporter == m_self;
    suspect.maxProgress = std::max(suspect.maxProgress, report.progress);
    if (suspect.prompts.size() < m_options.maxPromptsPerSuspect) {
        suspect.prompts.emplace_back(death, hashOf(report.parts));
    }
    if (std::find(suspect.deaths.begin(), suspect.deaths.end(), death) != suspect.deaths.end()) {
        return;
    }
    suspect.deaths.push_back(death);
    if (suspect.deaths.size() >= std::min(m_options.deathsToBlock, m_options.deathsToHold)) {
        m_candidates.insert(inHand.part);
    }
    if (suspect.lastAnswer && mayPublishAnswer(suspect)) {
        schedule(RecordKind::Answered, inHand.part, now);
    }
}

bool PromptPartSuspects::mayPublishAnswer(const Suspect &suspect) const
{
    return unexplainedDeaths(suspect).size() >= m_options.deathsToPublishAnswer + (suspect.isMarkedAnswered ? 1 : 0);
}

PromptPartSuspects::Deaths PromptPartSuspects::unexplainedDeaths(const Suspect &suspect) const
{
    Deaths deaths;
    std::copy_if(suspect.deaths.begin(), suspect.deaths.end(), std::back_inserter(deaths),
                 [&](const auto &death) { return !m_explained.contains(death); });
    return deaths;
}

PromptPartSuspects::Deaths PromptPartSuspects::unansweredDeaths(const Suspect &suspect) const
{
    auto deaths = suspect.deaths;
    std::erase_if(deaths, [&](const auto &death) { return suspect.lastAnswer && death->time <= *suspect.lastAnswer; });
    return deaths;
}

PromptPartSuspects::Deaths PromptPartSuspects::countedDeaths(const Suspect &suspect) const
{
    auto deaths = unansweredDeaths(suspect);
    std::erase_if(deaths, [&](const auto &death) { return m_explained.contains(death); });
    return deaths;
}

PromptPartSuspects::Deaths PromptPartSuspects::settled(Deaths deaths, SteadyTime now) const
{
    std::erase_if(deaths, [&](const auto &death) { return now - death->time < m_options.settleTime; });
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

std::size_t PromptPartSuspects::promptCount(const Suspect &suspect, const Deaths &counted) const
{
    std::set<std::uint64_t> prompts;
    for (const auto &[death, prompt] : suspect.prompts) {
        if (std::find(counted.begin(), counted.end(), death) != counted.end()) {
            prompts.insert(prompt);
        }
    }
    return prompts.size();
}

bool PromptPartSuspects::mayBlock(PromptPart part, const Suspect &suspect, SteadyTime now) const
{
    const auto counted = settled(countedDeaths(suspect), now);
    if (!isAnswered(part, suspect)) {
        // One request that is sent again and again ends several targets by itself, whichever of its parts is at fault.
        const auto needed =
            promptCount(suspect, counted) > 1 ? m_options.deathsToBlock : m_options.deathsToBlockOnePrompt;
        if (counted.size() < needed) {
            return false;
        }
        const Deaths last(counted.end() - static_cast<std::ptrdiff_t>(needed), counted.end());
        return shareOfAllDeaths(counted, needed)
            >= (episodeCount(last) > 1 ? m_options.shareToBlock : m_options.shareToBlockInOneEpisode);
    }
    const auto deaths = settled(unansweredDeaths(suspect), now);
    const auto unexplained = m_held.contains(part)
        ? static_cast<std::ptrdiff_t>(counted.size())
        : std::count_if(counted.begin(), counted.end(),
                        [&](const auto &death) { return !m_heldDeaths.contains(death); });
    if (static_cast<std::size_t>(unexplained) < m_options.unexplainedToBlockAnswered) {
        return false;
    }
    // That others are answered tells nothing about a part whose requests wait, unless a trial has crashed a target.
    const bool isTried = !m_held.contains(part) || m_held.hasFailedTrial(part);
    if (isTried && m_answerCount - suspect.answersBefore >= m_options.answersOfOthersToBlock) {
        return deaths.size() >= m_options.deathsToBlockAnswered
            && episodeCount(deaths) >= m_options.episodesToBlockAnswered;
    }
    return !suspect.isFirstPart && deaths.size() >= m_options.deathsToBlockUnproven
        && episodeCount(deaths) >= m_options.episodesToBlockUnproven
        && shareOfAllDeaths(deaths, deaths.size()) >= m_options.shareToBlockUnproven;
}

bool PromptPartSuspects::mayHold(PromptPart part, const Suspect &suspect, SteadyTime now) const
{
    if (suspect.isFirstPart || m_blocks.contains(part)) {
        return false;
    }
    if (!isAnswered(part, suspect)) {
        const auto counted = settled(countedDeaths(suspect), now);
        return counted.size() >= m_options.deathsToHold
            && shareOfAllDeaths(counted, m_options.deathsToHold) >= m_options.shareToHold;
    }
    const auto deaths = settled(unansweredDeaths(suspect), now);
    return deaths.size() >= m_options.deathsToBlockAnswered
        && settled(countedDeaths(suspect), now).size() >= m_options.unexplainedToBlockAnswered
        && shareOfAllDeaths(deaths, deaths.size()) >= m_options.shareToHold;
}

void PromptPartSuspects::updateHeldParts(SteadyTime now)
{
    // Those with most deaths first; parts with the same deaths are held together.
    std::vector<std::pair<std::size_t, PromptPart>> candidates;
    for (const auto part : m_candidates) {
        if (const auto &suspect = m_suspects.at(part); mayHold(part, suspect, now)) {
            candidates.emplace_back(countedDeaths(suspect).size(), part);
        }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    std::set<PromptPart> held;
    m_heldDeaths.clear();
    Deaths deathsOfLast;
    for (const auto &[count, part] : candidates) {
        const auto deaths = countedDeaths(m_suspects.at(part));
        const bool isExplained =
            std::all_of(deaths.begin(), deaths.end(), [&](const auto &death) { return m_heldDeaths.contains(death); });
        if (isExplained && deaths != deathsOfLast) {
            continue;
        }
        held.insert(part);
        m_heldDeaths.insert(deaths.begin(), deaths.end());
        deathsOfLast = deaths;
    }
    const auto &before = m_held.parts();
    std::set_difference(held.begin(), held.end(), before.begin(), before.end(), std::back_inserter(m_changes.held));
    std::set_difference(before.begin(), before.end(), held.begin(), held.end(), std::back_inserter(m_changes.unheld));
    m_held.replace(std::move(held));
}

double PromptPartSuspects::shareOfAllDeaths(const Deaths &deaths, std::size_t last) const
{
    // Wider than the deaths themselves: of very many at once, some part is in hand at several in a row.
    const auto from = deaths[deaths.size() - last]->time - m_options.episodeGap;
    const auto to = deaths.back()->time + m_options.episodeGap;
    const auto all = std::max<std::size_t>(m_deaths.countBetween(from, to), 1);
    return static_cast<double>(countBetween(deaths, from, to)) / static_cast<double>(all);
}

std::vector<PromptPart> PromptPartSuspects::nextCulprits(SteadyTime now) const
{
    std::vector<PromptPart> culprits;
    std::tuple<bool, bool, std::size_t> best{};
    Deaths deathsOfBest;
    for (const auto part : m_candidates) {
        const auto &suspect = m_suspects.at(part);
        if (m_blocks.contains(part) || !mayBlock(part, suspect, now)) {
            continue;
        }
        const auto counted = settled(countedDeaths(suspect), now);
        const std::tuple rank{!isAnswered(part, suspect), promptCount(suspect, counted) > 1, counted.size()};
        if (culprits.empty() || rank > best) {
            culprits = {part};
            best = rank;
            deathsOfBest = counted;
        } else if (rank == best && counted == deathsOfBest) {
            culprits.push_back(part); // nothing tells them apart
        }
    }
    preferLaterParts(culprits);
    return culprits;
}

void PromptPartSuspects::preferLaterParts(std::vector<PromptPart> &culprits) const
{
    const auto isFirst = [&](auto part) { return m_suspects.at(part).isFirstPart; };
    if (!std::all_of(culprits.begin(), culprits.end(), isFirst)) {
        std::erase_if(culprits, isFirst); // many sound prompts share the first part
    }
}

void PromptPartSuspects::explainDeathsOf(PromptPart part)
{
    if (const auto found = m_suspects.find(part); found != m_suspects.end()) {
        m_explained.insert(found->second.deaths.begin(), found->second.deaths.end());
    }
}

void PromptPartSuspects::updateVerdicts(SteadyTime now)
{
    m_explained.clear();
    for (const auto &[part, block] : m_blocks) {
        explainDeathsOf(part);
    }
    for (auto culprits = nextCulprits(now); !culprits.empty(); culprits = nextCulprits(now)) {
        const auto isDoubtful = culprits.size() > 1 || episodeCount(countedDeaths(m_suspects.at(culprits[0]))) < 2;
        for (const auto part : culprits) {
            block(part, isDoubtful, now);
            explainDeathsOf(part);
        }
    }
    if (now >= m_nextHeldUpdate) {
        m_nextHeldUpdate = now + HeldUpdateInterval;
        updateHeldParts(now);
    }
}

void PromptPartSuspects::block(PromptPart part, bool isDoubtful, SteadyTime now)
{
    const auto trialsBefore = m_held.nextNumber(part) - 1;
    const auto firstTrial = now + (isDoubtful ? m_options.doubtfulTrialDelay : m_options.trials.firstDelay);
    m_blocks.insert_or_assign(part,
                              Block{.lastActivity = now,
                                    .lastRecord = now,
                                    .trials = BlockTrials(m_options.trials, firstTrial, trialsBefore)});
    m_pending.erase({.kind = RecordKind::Answered, .part = part});
    schedule(RecordKind::Blocked, part, now);
    m_changes.blocked.push_back(part);
}

void PromptPartSuspects::clear(PromptPart part, SteadyTime now)
{
    const bool wasSuspect = m_suspects.erase(part) > 0;
    m_candidates.erase(part);
    if (m_held.contains(part)) {
        m_changes.unheld.push_back(part);
        m_nextHeldUpdate = now; // other parts may be to blame for its deaths
    }
    m_held.erase(part);
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

void PromptPartSuspects::recordFailedTrial(Block &block, const DeathPointer &death, SteadyTime now)
{
    // Requests that were on their way at the verdict are no trials.
    if (block.trials.awaitsResult() && block.deaths.insert(death).second) {
        block.trials.recordFailure(now);
    }
}

void PromptPartSuspects::schedule(RecordKind kind, PromptPart part, SteadyTime earliest)
{
    const auto suspect = m_suspects.find(part);
    const bool isReporter = suspect != m_suspects.end() && suspect->second.isReportedHere;
    const auto longest = kind == RecordKind::Answered ? m_options.answerJitter
        : isReporter                                  ? m_options.reporterJitter
                                                      : m_options.publishJitter;
    const auto jitter = static_cast<std::uint64_t>(longest.count()) + 1;
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
            const auto trials = found->second.trials.claimed();
            m_changes.toPublish.emplace_back(PromptPartBlocked{.part = record.part, .trials = trials});
        } else if (found != m_blocks.end() || m_held.contains(record.part)) {
            const auto number =
                found == m_blocks.end() ? m_held.nextNumber(record.part) : found->second.trials.claimed() + 1;
            m_changes.toPublish.emplace_back(PromptPartTrial{.part = record.part, .gateway = m_self, .number = number});
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
    const auto oldestDeath = now - m_options.deaths.retention;
    m_deaths.evict(oldestDeath);
    for (auto &[part, suspect] : m_suspects) {
        std::erase_if(suspect.deaths, [&](const auto &death) { return death->time < oldestDeath; });
        std::erase_if(suspect.prompts, [&](const auto &entry) { return entry.first->time < oldestDeath; });
        if (suspect.deaths.size() < std::min(m_options.deathsToBlock, m_options.deathsToHold)) {
            m_candidates.erase(part);
        }
    }
    std::erase_if(m_suspects, [](const auto &entry) { return entry.second.deaths.empty(); });
    m_held.evictClaims(oldest);
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

PromptPartChanges PromptPartSuspects::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace Heatherridge
