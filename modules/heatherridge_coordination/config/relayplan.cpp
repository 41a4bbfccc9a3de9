#include "heatherridge_coordination/config/relayplan.h"

#include "heatherridge_state/fold/digestbuilder.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t SourcesFromLevelAbove = 4;
constexpr std::size_t SourcesFromHigherLevels = 2;
constexpr std::size_t SourcesFromOtherZones = 2;

std::uint64_t scoreOf(std::string_view chooser, std::string_view candidate)
{
    DigestBuilder digest;
    return digest.add(chooser).add(candidate).finish();
}

/** Returns the position of a process in its zone, which depends only on the two names. */
std::uint64_t hashPositionOf(const ZoneName &zone, const ProcessName &process)
{
    return scoreOf(zone.text(), process.text());
}

} // namespace

ProcessName sidecarProcessOf(const TargetName &target)
{
    return ProcessName(target.text());
}

std::vector<RelayMember> relayMembersOf(const Inventory &inventory)
{
    std::vector<RelayMember> members;
    members.reserve(inventory.targets().size());
    for (const auto &[name, target] : inventory.targets()) {
        if (target.withdrawn) {
            continue;
        }
        const auto zone = inventory.zones().find(target.zone);
        members.push_back({.process = sidecarProcessOf(name),
                           .zone = target.zone,
                           .region = zone == inventory.zones().end() ? RegionName() : zone->second.region,
                           .endpoint = target.gate});
    }
    return members;
}

RelayPlan::RelayPlan(std::vector<RelayMember> members, RelayPlanOptions options)
    : m_options(options)
    , m_members(std::move(members))
{
    std::map<ZoneName, std::vector<std::pair<std::uint64_t, std::size_t>>> byZone; ///< positions and indices
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const auto &member = m_members[index];
        byZone[member.zone].emplace_back(hashPositionOf(member.zone, member.process), index);
    }
    for (auto &[zone, ordered] : byZone) {
        std::sort(ordered.begin(), ordered.end());
        auto &plan = m_zones[zone];
        plan.region = m_members[ordered.front().second].region;
        auto width = m_options.readersPerZone;
        for (const auto &[position, index] : ordered) {
            // Levels are filled completely rather than by random assignment: a level that drew few members would leave
            // each of them many subscribers.
            if (plan.levels.empty() || plan.levels.back().size() == width) {
                width *= plan.levels.empty() ? 1 : m_options.fanOut;
                plan.levels.emplace_back();
            }
            plan.levels.back().push_back(index);
            m_levelOf[m_members[index].process] = plan.levels.size() - 1;
            if (plan.levels.size() == 1) {
                m_readers.push_back(m_members[index].process);
            }
        }
    }
}

bool RelayPlan::isReader(const ProcessName &process) const
{
    const auto level = m_levelOf.find(process);
    return level != m_levelOf.end() && level->second == 0;
}

std::size_t RelayPlan::readerRank(const ProcessName &process) const
{
    return static_cast<std::size_t>(std::find(m_readers.begin(), m_readers.end(), process) - m_readers.begin());
}

std::vector<const RelayMember *> RelayPlan::sourcesOf(const ProcessName &process, const ZoneName &zone) const
{
    std::vector<const RelayMember *> sources;
    const auto plan = m_zones.find(zone);
    if (plan != m_zones.end()) {
        const auto &levels = plan->second.levels;
        const auto memberLevel = m_levelOf.find(process);
        // A process that is not a member counts as part of the lowest level, which may not be full yet.
        auto level = memberLevel != m_levelOf.end() ? memberLevel->second : std::max<std::size_t>(levels.size() - 1, 1);
        if (level == 0) {
            addBest(process, levels[0], SourcesFromLevelAbove, sources);
        }
        auto maxCount = SourcesFromLevelAbove;
        while (level > 0) {
            --level;
            addBest(process, levels[level], maxCount, sources);
            maxCount = SourcesFromHigherLevels;
        }
    }
    addOtherZones(process, zone, sources);
    return sources;
}

void RelayPlan::addBest(const ProcessName &process, const std::vector<std::size_t> &level, std::size_t maxCount,
                        std::vector<const RelayMember *> &sources) const
{
    std::vector<std::pair<std::uint64_t, const RelayMember *>> scored;
    scored.reserve(level.size());
    for (const auto index : level) {
        const auto &member = m_members[index];
        if (member.process != process) {
            scored.emplace_back(scoreOf(process.text(), member.process.text()), &member);
        }
    }
    std::sort(scored.begin(), scored.end());
    for (std::size_t i = 0; i < std::min(maxCount, scored.size()); ++i) {
        sources.push_back(scored[i].second);
    }
}

void RelayPlan::addOtherZones(const ProcessName &process, const ZoneName &zone,
                              std::vector<const RelayMember *> &sources) const
{
    const auto ownZone = m_zones.find(zone);
    const auto region = ownZone == m_zones.end() ? RegionName() : ownZone->second.region;
    for (const bool sameRegion : {true, false}) {
        std::vector<std::size_t> readers;
        for (const auto &[name, plan] : m_zones) {
            if (name != zone && (plan.region == region) == sameRegion) {
                readers.insert(readers.end(), plan.levels[0].begin(), plan.levels[0].end());
            }
        }
        addBest(process, readers, SourcesFromOtherZones, sources);
    }
}

std::size_t RelayPlan::depthOf(const ZoneName &zone) const
{
    const auto plan = m_zones.find(zone);
    return plan == m_zones.end() ? 0 : plan->second.levels.size() - 1;
}

std::size_t RelayPlan::size() const
{
    return m_members.size();
}

} // namespace Heatherridge
