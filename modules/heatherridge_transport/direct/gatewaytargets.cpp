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

/** What other entries have at each of @p targets on average, by what these told of late. */
double usualOthers(const std::vector<GatewayTarget *> &targets, SteadyTime now)
{
    double sum = 0;
    double weight = 0;
    for (const auto *target : targets) {
        const double fresh = target->load.freshness(now);
        sum += target->load.otherRequests() * fresh;
        weight += fresh;
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
        if (it->second.load.ownRequests() > 0) {
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
        }
    }
    // Plain services tell their load with each answer; one that has not answered for long is idle.
    const double usual = isGrouped ? usualOthers(targets, now) : 0;
    candidates.reserve(targets.size());
    for (const auto *target : targets) {
        candidates.push_back(candidateOf(*target, usual, health, tried, now));
    }
    if (isGrouped) {
        return chooseEngine(targets, candidates, rules->second, urgency, now, random);
    }
    const auto chosen = placeDirectly(candidates, random);
    if (chosen) {
        return {.target = targets[*chosen], .load = candidates[*chosen].load};
    }
    const auto heldFor = shortestHold(targets, now);
    return {.isFull = heldFor.has_value(), .heldFor = heldFor};
}

std::optional<std::chrono::milliseconds> GatewayTargets::shortestHold(const std::vector<GatewayTarget *> &targets,
                                                                      SteadyTime now) const
{
    std::optional<std::chrono::milliseconds> shortest;
    for (const auto *target : targets) {
        const auto wait = target->limit.timeUntilAllowed(m_limitPart, now);
        if (wait.count() > 0) {
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

DirectCandidate GatewayTargets::candidateOf(const GatewayTarget &target, double usualOthers,
                                            const HealthTracker &health, const std::set<TargetName> &tried,
                                            SteadyTime now) const
{
    const bool isOut = isStalled(target, now) || now < target.refusedUntil;
    return {.load = target.load.total(now, usualOthers),
            .slots = target.entry.slots,
            .isInOwnZone = target.entry.zone == m_zone,
            .isCold = target.entry.coldFor.count() > 0,
            .wasTried = tried.contains(target.entry.id),
            .isAtLimit = target.limit.timeUntilAllowed(m_limitPart, now).count() > 0,
            .health = isOut ? Health::Ejected : health.healthOf(target.entry.id, now)};
}

GatewayTargets::Choice GatewayTargets::chooseEngine(const std::vector<GatewayTarget *> &targets,
                                                    const std::vector<DirectCandidate> &candidates,
                                                    const PassTimeModel &rules, Urgency urgency, SteadyTime now,
                                                    RandomSource &random)
{
    std::vector<EngineCandidate> engines;
    std::vector<GroupName> names;
    std::vector<GroupLoad> work;
    std::map<GroupName, std::size_t> indices;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto &view = *targets[index]->engine;
        const auto group = indices.try_emplace(view.group, work.size()).first->second;
        if (group == work.size()) {
            names.push_back(view.group);
            work.push_back({.reportedPass = view.passTime});
        }
        addTo(work[group], *targets[index], candidates[index].load, now);
        engines.push_back({.target = candidates[index],
                           .group = group,
                           .isOpen = view.isOpen,
                           .isRefusing = now < targets[index]->refusedUntil || hasUsedItsRoom(*targets[index]),
                           .slowdown = view.pace});
    }
    std::vector<EngineGroup> groups;
    for (std::size_t group = 0; group < work.size(); ++group) {
        groups.push_back(m_groups[names[group]].evaluate(work[group], rules, m_part, now));
    }
    const auto choice = placeStream(engines, groups, {.urgency = urgency, .share = m_part}, random);
    if (choice.index) {
        return {.target = targets[*choice.index], .load = candidates[*choice.index].load};
    }
    return {.isFull = choice.isFull};
}

void GatewayTargets::addTo(GroupLoad &work, const GatewayTarget &target, double load, SteadyTime now)
{
    ++work.engines;
    work.requests += load;
    work.ownRequests += target.load.ownRequests();
    work.ownRequestsAtReport += target.load.ownRequestsAtReport();
    work.slots += target.entry.slots;
    work.hasSlowRank = work.hasSlowRank || target.engine->pace >= SlowEngineFactor;
    work.isStalled = work.isStalled || isStalled(target, now);
}

void GatewayTargets::sentTo(const GroupName &group, SteadyTime now)
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

bool GatewayTargets::hasUsedItsRoom(const GatewayTarget &target) const
{
    const auto found = m_groups.find(target.engine->group);
    const int reported = target.engine->running + target.engine->waiting;
    return found != m_groups.end() && found->second.isStarting()
        && target.sentSinceReport >= slowStartAllowance(target.entry.slots, reported, m_part);
}

void GatewayTargets::setParts(double limitPart, double roomPart)
{
    m_limitPart = limitPart;
    // Without a share this process has lost the log for a while; the last one says better how many others there are.
    m_part = roomPart > 0 ? roomPart : m_part;
}

bool GatewayTargets::takeLimit(GatewayTarget &target, std::optional<double> requestsPerSecond, SteadyTime now,
                               RandomSource &random) const
{
    const bool isOther = target.limit.requestsPerSecond() != requestsPerSecond;
    target.limit.update(requestsPerSecond, m_limitPart, now, random);
    return isOther;
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
                              PassTimeModel{.baseTime = engine.step * engine.stepsPerPass,
                                            .timePerRequest = engine.stepPerRequest * engine.stepsPerPass,
                                            .promptTime = engine.promptTime,
                                            .passesPerStream = engine.usualAnswer / std::max(engine.stepsPerPass, 1),
                                            .maxPassTime = longestPauseOf(config, service.name) * UsedPartOfPause});
    }
}

void GatewayTargets::setEngines(const std::vector<EngineView> &engines)
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

void GatewayTargets::record(const TargetName &id, AttemptOutcome attempt, SteadyTime now)
{
    const auto *target = find(id);
    if (target != nullptr && !m_gone.contains(id)) {
        m_health[target->entry.service].record(id, attempt, now);
    }
}

bool GatewayTargets::isStalled(const GatewayTarget &target, SteadyTime now)
{
    return target.load.ownRequests() > 0 && now - target.lastHeard > StallTime;
}

bool GatewayTargets::isUsable(const GatewayTarget &target, const ServiceName &service) const
{
    return target.entry.service == service && !target.entry.isDraining && !m_gone.contains(target.entry.id);
}

} // namespace Heatherridge
