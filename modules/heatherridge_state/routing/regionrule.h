#pragma once

#include "heatherridge_state/base/ids.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>

namespace Heatherridge
{

/** The region of each availability zone. */
using ZoneRegions = std::map<ZoneName, RegionName>;

/** Parses a list such as `zone:region,zone:region`. Skips items without a colon. */
ZoneRegions parseZoneRegions(std::string_view list);

/** The regions in which a request may be executed. By default all of them. Value type. */
class RegionRule
{
public:
    /** Allows only those of the regions so far that are in @p regions. An empty list changes nothing. */
    void restrictTo(std::span<const RegionName> regions);

    /** Returns whether targets in @p zone may execute the request. A zone of unknown region is allowed only if all
     * regions are. */
    bool allows(const ZoneName &zone, const ZoneRegions &regions) const;

private:
    std::optional<std::set<RegionName>> m_allowed; ///< nothing: all regions
};

} // namespace Heatherridge
