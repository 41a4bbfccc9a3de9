#include "heatherridge_transport/direct/gatewaytargets.h"

#include "heatherridge_state/decisions/slowstart.h"
#include "heatherridge_state/routing/routetable.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Nothing is sent to a target that has refused a request for as long; a slot of a plain service comes free in it. */
constexpr std::chrono::milliseconds RefusalPause{100};
/** Part of the promised pause between events that a pass may take: room for passes that read a long prompt, and for a
 * first event that comes some passes after its request. */
constexpr double UsedPartOfPause = 0.55;

} // namespace

GatewayTargets::GatewayTargets(ZoneName zone)
    : m_zone(std::move(zone))
{
}

std::vector<TargetName> GatewayTargets::setEntries(const std::vector<TargetEntry> &entries)
{
    std::set<TargetName> listed;
    for (const auto &entry : entries) {
        listed.insert(entry.id);
        m_targets[entry.id].entry = entry;
        m_health[entry.service].add(entry.id);
    }
    std::vector<TargetName> gone;
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        if (listed.contains(it->first)) {
            m_gone.erase(it->first);
            ++it;
            continue;
        }
        gone.push_back(it->first);
        m_health[it->second.entry.service].remove(it->first);
        if (it->second.load.own() > 0) {
            m_gone.insert(it->first);
            ++it;
        } else {
            m_gone.erase(it->first);
            it = m_targets.erase(it);
        }
    }
    return gone;
}

GatewayTarget *GatewayTargets::find(const TargetName &id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

GatewayTargets::Choice GatewayTargets::choose(const ServiceName &service, const std::set<TargetName> &tried, Room room,
                                              bool isLate, SteadyTime now, RandomSource &random)
{
    std::vector<GatewayTarget *> targets;
    std::vector<DirectCandidate> candidates;
    const auto &health = m_health[service];
    const auto rules = m_engineRules.find(service);
    const bool isGrouped = rules != m_engineRules.end()
        && std::any_of(m_targets.begin(), m_targets.end(),
                       [&](const auto &entry) { return entry.second.engine && isUsable(entry.second, service); });
    for (auto &[id, target] : m_targets) {
        // An engine that has not said which group it is in has just come, and takes part in no pass yet.
        if (isUsable(target, service) && (!isGrouped || target.engine)) {
            targets.push_back(&target);
            candidates.push_back(candidateOf(target, health, tried, now));
        }
    }
    if (isGrouped) {
        auto bounded = rules->second;
        bounded.mostPart = room == Room::OnTime ? bounded.onTimePart : bounded.mostPart;
        return chooseEngine(targets, candidates, bounded, isLate, now, random);
    }
    const auto chosen = placeDirectly(candidates, random);
    return {.target = chosen ? targets[*chosen] : nullptr};
}

DirectCandidate GatewayTargets::candidateOf(const GatewayTarget &target, const HealthTracker &health,
                                            const std::set<TargetName> &tried, SteadyTime now) const
{
    const bool isOut = isStalled(target, now) || now < target.refusedUntil;
    return {.load = target.load.total(now),
            .slots = target.entry.slots,
            .isNear = target.entry.zone == m_zone,
            .isCold = target.entry.coldFor.count() > 0,
            .wasTried = tried.contains(target.entry.id),
            .health = isOut ? Health::Ejected : health.healthOf(target.entry.id, now)};
}

GatewayTargets::Choice GatewayTargets::chooseEngine(const std::vector<GatewayTarget *> &targets,
                                                    const std::vector<DirectCandidate> &candidates,
                                                    const EnginePlacementRules &rules, bool isLate, SteadyTime now,
                                                    RandomSource &random) const
{
    std::vector<EngineCandidate> engines;
    std::vector<EngineGroup> groups;
    std::map<GroupName, std::size_t> indices;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto &view = *targets[index]->engine;
        const auto group = indices.try_emplace(view.group, groups.size()).first->second;
        if (group == groups.size()) {
            groups.push_back({.passTime = view.passTime});
        }
        groups[group].isStalled = groups[group].isStalled || isStalled(*targets[index], now);
        engines.push_back({.target = candidates[index],
                           .group = group,
                           .isOpen = view.isOpen,
                           .refusesNow = now < targets[index]->refusedUntil
                               || (isStarting(view.group, now) && hasUsedItsRoom(*targets[index], rules, isLate)),
                           .pace = view.pace});
    }
    const auto choice = placeStream(engines, groups, rules, random);
    return {.target = choice.index ? targets[*choice.index] : nullptr, .isFull = choice.isFull};
}

bool GatewayTargets::isStarting(const GroupName &group, SteadyTime now) const
{
    const auto found = m_openSince.find(group);
    return found != m_openSince.end() && now - found->second < SlowStart;
}

bool GatewayTargets::hasUsedItsRoom(const GatewayTarget &target, const EnginePlacementRules &rules, bool isLate) const
{
    const double part = isLate ? rules.onTimePart : rules.mostPart;
    const int reported = target.engine->running + target.engine->waiting;
    return target.sentSinceReport >= startRoom(target.entry.slots * part, reported, m_part);
}

void GatewayTargets::setPart(double part)
{
    m_part = part;
}

void GatewayTargets::refused(const TargetName &id, SteadyTime now)
{
    if (auto *target = find(id)) {
        target->refusedUntil = now + RefusalPause;
    }
}

void GatewayTargets::setProfiles(const RoutingConfig &config)
{
    m_engineRules.clear();
    for (const auto &service : config.services) {
        if (!service.engine || service.engine->layerSets == 0) {
            continue;
        }
        EnginePlacementRules rules{.step = service.engine->step, .stepPerRequest = service.engine->stepPerRequest};
        rules.longestPass = longestPauseOf(config, service.name) * UsedPartOfPause;
        m_engineRules.emplace(service.name, rules);
    }
}

void GatewayTargets::setEngines(const std::vector<EngineView> &engines)
{
    for (const auto &engine : engines) {
        if (engine.isOpen) {
            m_openSince.try_emplace(engine.group, engine.at);
        } else {
            m_openSince.erase(engine.group);
        }
        auto *target = find(engine.target);
        if (target == nullptr) {
            continue;
        }
        if (!target->engine || target->engine->at != engine.at) {
            target->load.reported(engine.running + engine.waiting, engine.at);
            target->sentSinceReport = 0;
        }
        target->engine = engine;
    }
}

void GatewayTargets::record(const TargetName &id, Attempt attempt, SteadyTime now)
{
    const auto *target = find(id);
    if (target != nullptr && !m_gone.contains(id)) {
        m_health[target->entry.service].record(id, attempt, now);
    }
}

bool GatewayTargets::isStalled(const GatewayTarget &target, SteadyTime now)
{
    return target.load.own() > 0 && now - target.lastHeard > StallTime;
}

bool GatewayTargets::isUsable(const GatewayTarget &target, const ServiceName &service) const
{
    return target.entry.service == service && !target.entry.isDraining && !m_gone.contains(target.entry.id);
}

} // namespace Heatherridge
