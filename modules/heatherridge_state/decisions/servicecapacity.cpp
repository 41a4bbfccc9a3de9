#include "heatherridge_state/decisions/servicecapacity.h"

#include <algorithm>
#include <vector>

namespace Heatherridge
{

namespace
{

double roomOf(const EngineGroup &group, const GroupLoad &load, Urgency urgency)
{
    if (group.isStalled) {
        return 0;
    }
    if (!group.cannotBeOnTime) {
        return std::max(group.headroom, 0.0);
    }
    return urgency == Urgency::Late ? std::max(load.slots - load.requests, 0.0) : 0;
}

} // namespace

RankAdmission::Capacity freeCapacity(std::span<const EngineCandidate> engines, std::span<const EngineGroup> groups,
                                     std::span<const GroupLoad> loads, const PassTimeModel &passTimes,
                                     const PlacementRequest &request)
{
    std::vector<bool> isOpen(groups.size(), false);
    for (const auto &engine : engines) {
        isOpen[engine.group] = isOpen[engine.group] || engine.isOpen;
    }
    const auto timePerRequest = passTimes.meanTimePerRequest();
    RankAdmission::Capacity capacity{.share = request.share};
    capacity.promptWeight = timePerRequest.count() > 0 ? std::max(1.0, passTimes.promptTime / timePerRequest) : 1;
    for (std::size_t group = 0; group < groups.size(); ++group) {
        if (isOpen[group]) {
            capacity.room += roomOf(groups[group], loads[group], request.urgency);
            capacity.pass = std::max(capacity.pass, std::min(loads[group].reportedPass, GroupAdmission::MaxPass));
        }
    }
    if (capacity.pass.count() <= 0) {
        capacity.pass = std::chrono::ceil<std::chrono::milliseconds>(passTimes.maxPassTime);
    }
    return capacity;
}

bool hasOpenEngine(std::span<const EngineCandidate> engines)
{
    return std::any_of(engines.begin(), engines.end(),
                       [](const auto &engine) { return engine.isOpen && !engine.target.wasTried; });
}

} // namespace Heatherridge
