#include "heatherridge_coordination/demand/exchangepoints.h"

#include "heatherridge_state/decisions/targetview.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

std::uint64_t zoneKey(const ZoneName &zone)
{
    return XXH3_64bits(zone.text().data(), zone.text().size());
}

} // namespace

ExchangePoints::ExchangePoints(ZoneName ownZone)
    : m_ownZone(std::move(ownZone))
{
}

bool ExchangePoints::setTargets(const std::vector<TargetEntry> &targets)
{
    m_candidates.clear();
    for (const auto &target : targets) {
        m_candidates[target.zone].push_back(
            {.hash = rendezvousHash(zoneKey(target.zone), targetKey(target.id)), .target = target});
    }
    for (auto &[zone, candidates] : m_candidates) {
        const auto count = std::min(CandidatesPerZone, candidates.size());
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
                          [](const auto &a, const auto &b) { return a.hash > b.hash; });
        candidates.resize(count);
    }
    std::erase_if(m_failures, [this](const auto &failure) {
        return std::none_of(m_candidates.begin(), m_candidates.end(), [&](const auto &zone) {
            return std::any_of(zone.second.begin(), zone.second.end(),
                               [&](const auto &candidate) { return candidate.target.id == failure.first; });
        });
    });
    auto home = m_ownZone;
    if (!m_candidates.contains(home) && !m_candidates.empty()) {
        home =
            std::max_element(m_candidates.begin(), m_candidates.end(),
                             [key = zoneKey(m_ownZone)](const auto &a, const auto &b) {
                                 return rendezvousHash(key, zoneKey(a.first)) < rendezvousHash(key, zoneKey(b.first));
                             })
                ->first;
    }
    return std::exchange(m_homeZone, home) != home;
}

const ZoneName &ExchangePoints::homeZone() const
{
    return m_homeZone;
}

const TargetEntry *ExchangePoints::find(const ZoneName &zone, SteadyTime now) const
{
    const auto found = m_candidates.find(zone);
    if (found == m_candidates.end()) {
        return nullptr;
    }
    const auto usable = std::find_if(found->second.begin(), found->second.end(), [&](const Candidate &candidate) {
        const auto failure = m_failures.find(candidate.target.id);
        return failure == m_failures.end() || now - failure->second >= FailureTime;
    });
    return usable == found->second.end() ? nullptr : &usable->target;
}

std::vector<ZoneName> ExchangePoints::otherZones() const
{
    std::vector<ZoneName> zones;
    for (const auto &[zone, candidates] : m_candidates) {
        if (zone != m_homeZone) {
            zones.push_back(zone);
        }
    }
    return zones;
}

ZoneName ExchangePoints::zoneAfter(const ZoneName &last, std::uint64_t start) const
{
    const auto zones = otherZones();
    if (zones.empty()) {
        return {};
    }
    if (last.isEmpty()) {
        return zones[start % zones.size()]; // so that gateways that start together ask different zones
    }
    const auto next = std::find_if(zones.begin(), zones.end(), [&last](const auto &zone) { return zone > last; });
    return next == zones.end() ? zones.front() : *next;
}

void ExchangePoints::recordAnswer(const TargetName &target)
{
    m_failures.erase(target);
}

void ExchangePoints::recordFailure(const TargetName &target, SteadyTime now)
{
    m_failures[target] = now;
}

} // namespace Heatherridge
