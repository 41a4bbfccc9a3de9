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
/** Part of the promised pause between events that a pass may take; the rest is for the ways between engine and caller.
 */
constexpr double UsedPartOfPause = 0.9;
/** Pauses of streams tell of the passes of a group for so long; then the keepers' statuses do. */
constexpr std::chrono::milliseconds PauseMemory{400};
/** A longer pause is a group that stands still, not one of its passes. */
constexpr std::chrono::milliseconds LongestPass{300};

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

GatewayTargets::Choice GatewayTargets::choose(const ServiceName &service, const std::set<TargetName> &tried,
                                              Urgency urgency, SteadyTime now, RandomSource &random)
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
        return chooseEngine(targets, candidates, rules->second, urgency, now, random);
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
                                                    const PassBudgetRules &rules, Urgency urgency, SteadyTime now,
                                                    RandomSource &random)
{
    struct Seen
    {
        GroupName name;
        std::chrono::milliseconds pass; ///< as the engines' statuses say
        double requests = 0;
        std::size_t engines = 0;
        double slots = 0;
        bool isStalled = false;
        bool hasSlowRank = false;
    };
    std::vector<EngineCandidate> engines;
    std::vector<Seen> seen;
    std::map<GroupName, std::size_t> indices;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto &view = *targets[index]->engine;
        const auto group = indices.try_emplace(view.group, seen.size()).first->second;
        if (group == seen.size()) {
            seen.push_back({.name = view.group, .pass = view.passTime});
        }
        ++seen[group].engines;
        seen[group].requests += candidates[index].load;
        seen[group].slots += candidates[index].slots;
        seen[group].hasSlowRank = seen[group].hasSlowRank || view.pace >= SlowPace;
        seen[group].isStalled = seen[group].isStalled || isStalled(*targets[index], now);
        engines.push_back({.target = candidates[index],
                           .group = group,
                           .isOpen = view.isOpen,
                           .refusesNow = now < targets[index]->refusedUntil || hasUsedItsRoom(*targets[index]),
                           .pace = view.pace});
    }
    std::vector<EngineGroup> groups;
    for (const auto &one : seen) {
        auto &group = m_groups[one.name];
        group.rules = rules;
        if (group.isStarting && now - group.openSince >= SlowStart) {
            group.isStarting = false;
            group.stretch = {};
        }
        group.isTypical = !one.hasSlowRank;
        group.requestsPerEngine = one.requests / static_cast<double>(one.engines);
        if (now - group.stretch.recordedAt() > PauseMemory) {
            group.stretch.record(one.pass, group.requestsPerEngine, rules, group.isTypical, now);
        }
        groups.push_back(groupView(group, one.requests, one.engines, one.slots, now));
        groups.back().isStalled = one.isStalled;
    }
    const auto choice = placeStream(engines, groups, urgency, random);
    return {.target = choice.index ? targets[*choice.index] : nullptr, .isFull = choice.isFull};
}

EngineGroup GatewayTargets::groupView(GatewayGroup &group, double requests, std::size_t engines, double slots,
                                      SteadyTime now) const
{
    const double stretch = group.stretch.present();
    const auto pass = group.rules.bestPass(group.requestsPerEngine) * stretch;
    while (!group.sent.empty() && now - group.sent.front() > pass) {
        group.sent.pop_front();
    }
    // A group that has just opened works with a map that fits nothing and reads all that has waited: that passes soon.
    const double room =
        requestsOnTime(group.isStarting ? stretch : group.stretch.usual(), engines, group.rules) - requests;
    return {.hasRoom = static_cast<int>(group.sent.size()) < streamsPerPass(room, group.rules, m_part),
            .room = std::min(room, slots - requests),
            .isBeyondHelp = Heatherridge::isBeyondHelp(stretch, group.rules)};
}

void GatewayTargets::sentTo(const GroupName &group, SteadyTime now)
{
    if (!group.isEmpty()) {
        m_groups[group].sent.push_back(now);
    }
}

void GatewayTargets::recordPause(const GroupName &name, std::chrono::milliseconds pause, SteadyTime now)
{
    // All streams of a group have an event in each pass; one sample a pass is enough.
    auto &group = m_groups[name];
    if (name.isEmpty() || now - group.stretch.recordedAt() < pause / 2) {
        return;
    }
    group.stretch.record(std::min(pause, LongestPass), group.requestsPerEngine, group.rules, group.isTypical, now);
}

bool GatewayTargets::hasUsedItsRoom(const GatewayTarget &target) const
{
    const auto found = m_groups.find(target.engine->group);
    const bool isStarting = found != m_groups.end() && found->second.isOpen && found->second.isStarting;
    const int reported = target.engine->running + target.engine->waiting;
    return isStarting && target.sentSinceReport >= startRoom(target.entry.slots, reported, m_part);
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
        const auto &engine = *service.engine;
        m_engineRules.emplace(service.name,
                              PassBudgetRules{.base = engine.step * engine.stepsPerPass,
                                              .perRequest = engine.stepPerRequest * engine.stepsPerPass,
                                              .promptTime = engine.promptTime,
                                              .longestPass = longestPauseOf(config, service.name) * UsedPartOfPause});
    }
}

void GatewayTargets::setEngines(const std::vector<EngineView> &engines)
{
    for (const auto &engine : engines) {
        auto &group = m_groups[engine.group];
        if (engine.isOpen && !group.isOpen) {
            group = {.openSince = engine.at, .isStarting = true}; // its passes are others than before
        }
        group.isOpen = engine.isOpen;
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
