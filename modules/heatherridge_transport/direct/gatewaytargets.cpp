#include "heatherridge_transport/direct/gatewaytargets.h"

#include "heatherridge_state/decisions/slowstart.h"
#include "heatherridge_state/routing/routetable.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** How long nothing is sent to a target after it refused a request; a plain service frees a slot within this time. */
constexpr std::chrono::milliseconds RefusalBackoff{100};
/** Fraction of the promised pause between events that a pass may take; the rest covers the transport from the engine to
 * the caller. */
constexpr double PassFractionOfPause = 0.9;

/** Returns the average load that other entries put on each of @p targets, weighted by how recent the reports are. */
double averageOtherLoad(const std::vector<GatewayTarget *> &targets, SteadyTime now)
{
    double sum = 0;
    double weight = 0;
    for (const auto *target : targets) {
        const double freshness = target->load.freshness(now);
        sum += target->load.otherRequests() * freshness;
        weight += freshness;
    }
    return weight > 0 ? sum / weight : 0;
}

} // namespace

GatewayTargets::GatewayTargets(ZoneName zone)
    : m_zone(std::move(zone))
{
}

std::vector<TargetName> GatewayTargets::setEntries(const std::vector<TargetEntry> &entries)
{
    std::set<TargetName> registered;
    for (const auto &entry : entries) {
        registered.insert(entry.id);
        addEntry(entry).entry = entry;
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

GatewayTargets::Choice GatewayTargets::choose(const ServiceName &service, const std::set<TargetName> &tried,
                                              Urgency urgency, SteadyTime now, RandomSource &random)
{
    std::vector<GatewayTarget *> targets;
    std::vector<DirectCandidate> candidates;
    const auto &health = m_health[service];
    const auto passTimeModel = m_passTimeModels.find(service);
    const bool hasEngineGroups = passTimeModel != m_passTimeModels.end()
        && std::any_of(m_targets.begin(), m_targets.end(),
                       [&](const auto &entry) { return entry.second.engine && isUsable(entry.second, service, now); });
    for (auto &[id, target] : m_targets) {
        // An engine that has not reported its group has just started and takes part in no pass yet.
        if (isUsable(target, service, now) && (!hasEngineGroups || target.engine)) {
            targets.push_back(&target);
        }
    }
    // Plain services report their load in each response; one that has not responded for long is idle.
    const double averageOthers = hasEngineGroups ? averageOtherLoad(targets, now) : 0;
    candidates.reserve(targets.size());
    for (const auto *target : targets) {
        candidates.push_back(makeCandidate(*target, averageOthers, health, tried, now));
    }
    if (hasEngineGroups) {
        return chooseEngine(targets, candidates, passTimeModel->second, urgency, now, random);
    }
    const auto chosen = placeDirectly(candidates, random);
    if (chosen) {
        return {.target = targets[*chosen], .load = candidates[*chosen].load};
    }
    const auto heldFor = timeUntilAnyAllowed(targets, now);
    return {.isFull = heldFor.has_value(), .heldFor = heldFor};
}

std::optional<std::chrono::milliseconds>
GatewayTargets::timeUntilAnyAllowed(const std::vector<GatewayTarget *> &targets, SteadyTime now) const
{
    std::optional<std::chrono::milliseconds> shortest;
    for (const auto *target : targets) {
        const auto wait = target->admission.timeUntilAllowed(m_limitShare, now);
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
            .isCold = target.entry.remainingWarmUp.count() > 0,
            .wasTried = tried.contains(target.entry.id),
            .isHeldBack = target.admission.timeUntilAllowed(m_limitShare, now).count() > 0,
            .health = isExcluded ? Health::Ejected : health.healthOf(target.entry.id, now)};
}

GatewayTargets::Choice GatewayTargets::chooseEngine(const std::vector<GatewayTarget *> &targets,
                                                    const std::vector<DirectCandidate> &candidates,
                                                    const PassTimeModel &passTimeModel, Urgency urgency, SteadyTime now,
                                                    RandomSource &random)
{
    std::vector<EngineCandidate> engines;
    std::vector<GroupName> groupNames;
    std::vector<GroupLoad> groupWork;
    std::map<GroupName, std::size_t> groupIndices;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto &view = *targets[index]->engine;
        const auto group = groupIndices.try_emplace(view.group, groupWork.size()).first->second;
        if (group == groupWork.size()) {
            groupNames.push_back(view.group);
            groupWork.push_back({.reportedPass = view.passTime});
        }
        addToGroup(groupWork[group], *targets[index], candidates[index].load, now);
        engines.push_back({.target = candidates[index],
                           .group = group,
                           .isOpen = view.isOpen,
                           .isRefusing = now < targets[index]->refusedUntil || hasUsedCapacityShare(*targets[index]),
                           .slowdown = view.pace});
    }
    std::vector<EngineGroup> groups;
    for (std::size_t group = 0; group < groupWork.size(); ++group) {
        groups.push_back(m_groups[groupNames[group]].evaluate(groupWork[group], passTimeModel, m_capacityShare, now));
    }
    const auto choice = placeStream(engines, groups, {.urgency = urgency, .share = m_capacityShare}, random);
    if (choice.index) {
        return {.target = targets[*choice.index], .load = candidates[*choice.index].load};
    }
    return {.isFull = choice.isFull, .heldFor = timeUntilAnyAllowed(targets, now)};
}

void GatewayTargets::addToGroup(GroupLoad &work, const GatewayTarget &target, double load, SteadyTime now)
{
    ++work.engines;
    work.requests += load;
    work.ownRequests += target.load.ownRequests();
    work.ownRequestsAtReport += target.load.ownRequestsAtReport();
    work.slots += target.entry.slots;
    work.hasSlowRank = work.hasSlowRank || target.engine->pace >= SlowEngineFactor;
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

bool GatewayTargets::hasUsedCapacityShare(const GatewayTarget &target) const
{
    const auto found = m_groups.find(target.engine->group);
    const int reportedRequests = target.engine->running + target.engine->waiting;
    return found != m_groups.end() && found->second.isStarting()
        && target.sentSinceReport >= slowStartAllowance(target.entry.slots, reportedRequests, m_capacityShare);
}

void GatewayTargets::setShares(double limitShare, double capacityShare)
{
    m_limitShare = limitShare;
    // A share of 0 means that this process has lost the log for a while; the last known share is then the better
    // estimate of the number of gateways.
    m_capacityShare = capacityShare > 0 ? capacityShare : m_capacityShare;
}

bool GatewayTargets::applyStatement(GatewayTarget &target, const TargetStatement &statement, SteadyTime now,
                                    RandomSource &random) const
{
    return target.admission.apply(statement, m_limitShare, now, random);
}

void GatewayTargets::recordRefusal(const TargetName &id, SteadyTime now)
{
    if (auto *target = find(id)) {
        target->refusedUntil = now + RefusalBackoff;
    }
}

void GatewayTargets::setEngineProfiles(const RoutingConfig &config)
{
    m_passTimeModels.clear();
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
        m_groups[engine.group].setOpen(engine.isOpen, engine.requestedAt);
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
