#include "heatherridge_transport/direct/gatewaytargets.h"

#include "heatherridge_state/decisions/servicecapacity.h"
#include "heatherridge_state/decisions/slowstart.h"
#include "heatherridge_state/routing/routetable.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

/** How long nothing is sent to a target after it refused a request; a plain service frees a slot within this time. */
constexpr std::chrono::milliseconds RefusalBackoff{100};
/** Fraction of the promised pause between events that a pass may take; the rest covers the transport from the engine to
 * the caller. */
constexpr double PassFractionOfPause = 0.9;

} // namespace

GatewayTargets::GatewayTargets(ZoneName zone, ZoneRegions regions, WarmUpTolerance tolerance,
                               EngineShares::Options shares)
    : m_zone(std::move(zone))
    , m_zoneRegions(std::move(regions))
    , m_warmUps(tolerance)
    , m_engineShares(std::move(shares))
{
}

std::vector<TargetName> GatewayTargets::setEntries(const std::vector<TargetEntry> &entries, SteadyTime now)
{
    std::set<TargetName> registered;
    for (const auto &entry : entries) {
        registered.insert(entry.id);
        auto &target = addEntry(entry);
        applyEntryWarmUp(target, entry, now);
        target.entry = entry;
        m_health[entry.service].add(entry.id);
    }
    std::vector<TargetName> removed;
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        if (registered.contains(it->first)) {
            m_unregistered.erase(it->first);
            ++it;
            continue;
        }
        removed.push_back(it->first);
        m_health[it->second.entry.service].remove(it->first);
        if (it->second.load.ownRequests() > 0) {
            m_unregistered.insert(it->first);
            ++it;
        } else {
            m_unregistered.erase(it->first);
            m_withoutEntry.insert_or_assign(it->first, std::move(it->second));
            it = m_targets.erase(it);
        }
    }
    return removed;
}

GatewayTarget &GatewayTargets::addEntry(const TargetEntry &entry)
{
    auto &target = m_targets[entry.id];
    if (auto known = m_withoutEntry.extract(entry.id)) {
        target.entry.startedAt = known.mapped().entry.startedAt;
        target.admission = known.mapped().admission;
    }
    if (entry.startedAt > target.entry.startedAt) {
        target.admission = {}; // the statements were made by an earlier run
    }
    return target;
}

void GatewayTargets::applyEntryWarmUp(GatewayTarget &target, const TargetEntry &entry, SteadyTime now)
{
    // An entry that has not changed says nothing about the time since it was written.
    const bool isNews = target.entry.id.isEmpty() || entry.startedAt != target.entry.startedAt
        || entry.remainingWarmUp != target.entry.remainingWarmUp;
    if (isNews) {
        const auto remaining = entry.remainingWarmUp.value_or(m_warmUps.duration(entry.service));
        target.admission.startWarmUp(remaining, now);
    }
}

void GatewayTargets::tick(SteadyTime now)
{
    std::erase_if(m_withoutEntry, [now](const auto &target) {
        return target.second.admission.isIdle(now) || now - target.second.lastReceivedAt > StatementRetention;
    });
}

GatewayTarget *GatewayTargets::find(const TargetName &id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

GatewayTargets::Choice GatewayTargets::choose(const TargetRequirements &request, SteadyTime now, RandomSource &random)
{
    std::vector<DirectCandidate> candidates;
    const auto &health = m_health[request.service];
    const auto passTimeModel = m_passTimeModels.find(request.service);
    const bool hasEngineGroups = passTimeModel != m_passTimeModels.end()
        && std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
                                     return entry.second.engine && isUsable(entry.second, request.service, now);
                                 });
    const auto eligible = findEligible(request, hasEngineGroups, now);
    // Plain services report their load in each response; one that has not responded for long is idle.
    const double averageOthers = hasEngineGroups ? averageOtherLoad(eligible.targets, now) : 0;
    candidates.reserve(eligible.targets.size());
    for (const auto *target : eligible.targets) {
        candidates.push_back(makeCandidate(*target, averageOthers, health, request.tried, now));
    }
    // Statements of the other gateways arrive before statuses do; until then all engines count as one group.
    if (hasEngineGroups || (passTimeModel != m_passTimeModels.end() && m_engineShares.isDemandShared())) {
        return chooseEngine(eligible, candidates, passTimeModel->second, request, now, random);
    }
    const auto chosen = placeDirectly(candidates, random);
    if (chosen) {
        return {.target = eligible.targets[*chosen], .load = candidates[*chosen].load};
    }
    return noChoice(eligible, false, now);
}

GatewayTargets::Eligible GatewayTargets::findEligible(const TargetRequirements &request, bool hasEngineGroups,
                                                      SteadyTime now)
{
    Eligible eligible;
    for (auto &[id, target] : m_targets) {
        // An engine that has not reported its group has just started and takes part in no pass yet.
        if (!isUsable(target, request.service, now) || (hasEngineGroups && !target.engine)) {
            continue;
        }
        if (!request.regions.allows(target.entry.zone, m_zoneRegions)) {
            eligible.anyOutsideRegions = true;
        } else if (m_drainedZones.contains(target.entry.zone)) {
            eligible.anyInDrainedZone = true;
        } else {
            eligible.targets.push_back(&target);
        }
    }
    return eligible;
}

GatewayTargets::Choice GatewayTargets::noChoice(const Eligible &eligible, bool isFull, SteadyTime now) const
{
    const auto heldFor = timeUntilAnyAllowed(eligible.targets, now);
    auto reason = NoChoiceReason::NoTarget;
    if (heldFor) {
        reason = NoChoiceReason::AllHeldBack;
    } else if (isFull) {
        reason = NoChoiceReason::AllFull;
    } else if (eligible.targets.empty() && eligible.anyInDrainedZone) {
        reason = NoChoiceReason::ZonesDrained;
    } else if (eligible.targets.empty() && eligible.anyOutsideRegions) {
        reason = NoChoiceReason::OutsideRegions;
    }
    return {.reason = reason, .heldFor = heldFor};
}

std::optional<std::chrono::milliseconds>
GatewayTargets::timeUntilAnyAllowed(const std::vector<GatewayTarget *> &targets, SteadyTime now) const
{
    std::optional<std::chrono::milliseconds> shortest;
    for (const auto *target : targets) {
        const auto wait = target->admission.timeUntilAllowed(admissionShare(*target, now), now);
        if (wait.count() == 0) {
            return std::nullopt;
        }
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

DirectCandidate GatewayTargets::makeCandidate(const GatewayTarget &target, double averageOthers,
                                              const HealthTracker &health, const std::set<TargetName> &tried,
                                              SteadyTime now) const
{
    const bool isExcluded = isStalled(target, now) || now < target.refusedUntil;
    return {.load = target.load.total(now, averageOthers),
            .slots = target.entry.slots,
            .isInOwnZone = target.entry.zone == m_zone,
            .isCold = target.admission.isWarmingUp(now),
            .wasTried = tried.contains(target.entry.id),
            .isHeldBack = target.admission.timeUntilAllowed(admissionShare(target, now), now).count() > 0,
            .health = isExcluded ? Health::Ejected : health.healthOf(target.entry.id, now)};
}

GatewayTargets::Choice GatewayTargets::chooseEngine(const Eligible &eligible,
                                                    const std::vector<DirectCandidate> &candidates,
                                                    const PassTimeModel &passTimeModel,
                                                    const TargetRequirements &request, SteadyTime now,
                                                    RandomSource &random)
{
    static const EngineView Unreported{.isGroupOpen = true, .isOpen = true};
    const auto &targets = eligible.targets;
    const double share = m_engineShares.share(request.service, now);
    OtherStreams others;
    if (m_engineShares.isDemandShared()) {
        const auto reports = engineReports(m_targets, request.service, averageOtherLoad(targets, now), now);
        others = m_engineShares.others(request.service, reports, now);
    }
    std::vector<EngineCandidate> engines;
    std::vector<GroupName> groupNames;
    std::vector<GroupLoad> groupWork;
    std::vector<SteadyTime> reportedAt; ///< latest status of each group
    std::map<GroupName, std::size_t> groupIndices;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto &view = targets[index]->engine ? *targets[index]->engine : Unreported;
        const auto group = groupIndices.try_emplace(view.group, groupWork.size()).first->second;
        if (group == groupWork.size()) {
            groupNames.push_back(view.group);
            groupWork.push_back({.others = others});
            reportedAt.push_back({});
        }
        if (view.requestedAt >= reportedAt[group]) {
            reportedAt[group] = view.requestedAt;
            groupWork[group].reportedPass = view.passTime;
        }
        addToGroup(groupWork[group], *targets[index], candidates[index].load, now);
        engines.push_back(
            {.target = candidates[index],
             .group = group,
             .isOpen = view.isOpen,
             .isRefusing = now < targets[index]->refusedUntil || hasUsedCapacityShare(*targets[index], share),
             .slowdown = view.pace});
    }
    std::vector<EngineGroup> groups;
    for (std::size_t group = 0; group < groupWork.size(); ++group) {
        groups.push_back(m_groups[groupNames[group]].evaluate(groupWork[group], passTimeModel, share, now));
    }
    const PlacementRequest placement{.urgency = request.urgency, .share = share};
    if (request.mayAdmit && !request.mayAdmit(freeCapacity(engines, groups, groupWork, passTimeModel, placement))) {
        return noChoice(eligible, hasOpenEngine(engines), now);
    }
    const auto choice = placeStream(engines, groups, placement, random);
    if (choice.index) {
        return {.target = targets[*choice.index], .load = candidates[*choice.index].load};
    }
    return noChoice(eligible, choice.isFull, now);
}

void GatewayTargets::addToGroup(GroupLoad &work, const GatewayTarget &target, double load, SteadyTime now)
{
    ++work.engines;
    work.requests += load;
    work.ownRequests += target.load.ownRequests();
    work.ownRequestsAtReport += target.load.ownRequestsAtReport();
    work.slots += target.entry.slots;
    work.hasSlowRank = work.hasSlowRank || (target.engine && target.engine->pace >= SlowEngineFactor);
    work.isStalled = work.isStalled || isStalled(target, now);
}

void GatewayTargets::recordSend(const GroupName &group, SteadyTime now)
{
    if (!group.isEmpty()) {
        m_groups[group].recordSent(now);
    }
}

void GatewayTargets::recordPause(const GroupName &group, std::chrono::milliseconds pause, SteadyTime now)
{
    if (!group.isEmpty()) {
        m_groups[group].recordPause(pause, now);
    }
}

bool GatewayTargets::hasUsedCapacityShare(const GatewayTarget &target, double share) const
{
    if (!target.engine) {
        return false;
    }
    const auto found = m_groups.find(target.engine->group);
    const int reportedRequests = target.engine->running + target.engine->waiting;
    return found != m_groups.end() && found->second.isStarting()
        && target.sentSinceReport >= slowStartAllowance(target.entry.slots, reportedRequests, share);
}

void GatewayTargets::setLimitShare(double share)
{
    m_limitShare = share;
}

EngineShares &GatewayTargets::engineShares()
{
    return m_engineShares;
}

bool GatewayTargets::applyStatement(GatewayTarget &target, const TargetStatement &statement, SteadyTime now,
                                    RandomSource &random) const
{
    return target.admission.apply(statement, m_limitShare, now, random);
}

void GatewayTargets::setDrainedZones(const std::set<ZoneName> &zones, SteadyTime now)
{
    const auto before = std::exchange(m_drainedZones, zones);
    for (auto &[id, target] : m_targets) {
        if (before.contains(target.entry.zone) && !zones.contains(target.entry.zone)) {
            target.admission.startWarmUp(m_warmUps.duration(target.entry.service), now);
        }
    }
}

void GatewayTargets::setOwnedPartitions(const OwnedPartitions &owned, SteadyTime now)
{
    m_warmUps.setOwnedPartitions(owned, now);
}

AdmissionShare GatewayTargets::admissionShare(const GatewayTarget &target, SteadyTime now) const
{
    return m_warmUps.admissionShare(target.entry.id, target.entry.service, target.admission, m_limitShare, now);
}

void GatewayTargets::recordRefusal(const TargetName &id, SteadyTime now)
{
    if (auto *target = find(id)) {
        target->refusedUntil = now + RefusalBackoff;
    }
}

void GatewayTargets::setServices(const RoutingConfig &config)
{
    m_passTimeModels.clear();
    m_warmUps.setServices(config);
    for (const auto &service : config.services) {
        if (!service.engine || service.engine->layerSets == 0) {
            continue;
        }
        const auto &engine = *service.engine;
        m_passTimeModels.emplace(
            service.name,
            PassTimeModel{.baseTime = engine.stepTime * engine.stepsPerPass,
                          .timePerRequest = engine.stepTimePerRequest * engine.stepsPerPass,
                          .promptTime = engine.promptTime,
                          .passesPerStream = engine.typicalAnswerTokens / std::max(engine.stepsPerPass, 1),
                          .maxPassTime = maxEventGapFor(config, service.name) * PassFractionOfPause});
    }
}

void GatewayTargets::updateEngines(const std::vector<EngineView> &engines)
{
    for (const auto &engine : engines) {
        m_groups[engine.group].setOpen(engine.isGroupOpen, engine.requestedAt);
        auto *target = find(engine.target);
        if (target == nullptr) {
            continue;
        }
        if (!target->engine || target->engine->requestedAt != engine.requestedAt) {
            target->load.recordReport(engine.running + engine.waiting, engine.requestedAt);
            target->sentSinceReport = 0;
        }
        target->engine = engine;
    }
}

void GatewayTargets::recordAttempt(const TargetName &id, AttemptOutcome attempt, SteadyTime now)
{
    const auto *target = find(id);
    if (target != nullptr && !m_unregistered.contains(id)) {
        m_health[target->entry.service].record(id, attempt, now);
    }
}

bool GatewayTargets::isStalled(const GatewayTarget &target, SteadyTime now)
{
    return target.load.ownRequests() > 0 && now - target.lastReceivedAt > StallTimeout;
}

bool GatewayTargets::isUsable(const GatewayTarget &target, const ServiceName &service, SteadyTime now) const
{
    return target.entry.service == service && !target.entry.isDraining && !target.admission.isDraining(now)
        && !m_unregistered.contains(target.entry.id);
}

} // namespace Heatherridge
