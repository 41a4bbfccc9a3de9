#include "heatherridge_transport/direct/gatewaytargets.h"

#include <algorithm>

namespace Heatherridge
{

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

std::size_t GatewayTargets::usableCount(const ServiceName &service) const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        return isUsable(entry.second, service);
    }));
}

GatewayTarget *GatewayTargets::choose(const ServiceName &service, const std::set<TargetName> &tried, SteadyTime now,
                                      RandomSource &random)
{
    std::vector<GatewayTarget *> targets;
    std::vector<DirectCandidate> candidates;
    const auto &health = m_health[service];
    for (auto &[id, target] : m_targets) {
        if (!isUsable(target, service)) {
            continue;
        }
        targets.push_back(&target);
        const auto state = health.healthOf(id, now);
        candidates.push_back({.load = target.load.total(now),
                              .slots = target.entry.slots,
                              .isNear = target.entry.zone == m_zone,
                              .isCold = target.entry.coldFor.count() > 0,
                              .wasTried = tried.contains(id),
                              .health = isStalled(target, now) ? Health::Ejected : state});
    }
    const auto chosen = placeDirectly(candidates, random);
    return chosen ? targets[*chosen] : nullptr;
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
