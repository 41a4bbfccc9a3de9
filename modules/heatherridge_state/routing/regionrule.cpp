#include "heatherridge_state/routing/regionrule.h"

#include <algorithm>

namespace Heatherridge
{

ZoneRegions parseZoneRegions(std::string_view list)
{
    ZoneRegions regions;
    while (!list.empty()) {
        const auto item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const auto colon = item.find(':');
        if (colon != std::string_view::npos) {
            regions.emplace(ZoneName(std::string(item.substr(0, colon))),
                            RegionName(std::string(item.substr(colon + 1))));
        }
    }
    return regions;
}

void RegionRule::restrictTo(std::span<const RegionName> regions)
{
    if (regions.empty()) {
        return;
    }
    const std::set<RegionName> listed(regions.begin(), regions.end());
    if (!m_allowed) {
        m_allowed = listed;
        return;
    }
    std::erase_if(*m_allowed, [&listed](const auto &region) { return !listed.contains(region); });
}

bool RegionRule::allows(const ZoneName &zone, const ZoneRegions &regions) const
{
    if (!m_allowed) {
        return true;
    }
    const auto region = regions.find(zone);
    return region != regions.end() && m_allowed->contains(region->second);
}

} // namespace Heatherridge
