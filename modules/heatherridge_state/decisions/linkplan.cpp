#include "heatherridge_state/decisions/linkplan.h"

#include "heatherridge_state/decisions/subsetselection.h"
#include "heatherridge_state/decisions/targetview.h"

#include <utility>
#include <vector>

namespace Heatherridge
{

namespace
{

/** Engines that can serve the same requests. */
using EngineKind = std::pair<ServiceName, std::vector<ModelName>>;
using Targets = std::vector<const Target *>;

/** Returns the share of @p targetsPerKind for a zone that has @p inZone of @p total targets; at least one. */
std::size_t zoneShare(std::size_t targetsPerKind, std::size_t inZone, std::size_t total)
{
    return (targetsPerKind * inZone + total - 1) / total;
}

void addSubset(std::map<TargetName, Endpoint> &links, const Targets &targets, const SubsetOptions &options)
{
    std::vector<std::uint64_t> keys;
    keys.reserve(targets.size());
    for (const auto *target : targets) {
        keys.push_back(targetKey(target->name));
    }
    for (const auto index : SubsetSelection::choose(keys, options)) {
        links.emplace(targets[index]->name, targets[index]->gate);
    }
}

} // namespace

std::map<TargetName, Endpoint> LinkPlan::choose(const Inventory &inventory, const LinkPlanOptions &options)
{
    std::map<TargetName, Endpoint> links;
    std::map<EngineKind, std::map<ZoneName, Targets>> engines;
    std::map<EngineKind, std::size_t> totals;
    for (const auto &[name, target] : inventory.targets()) {
        if (target.kind == TargetKind::Plain) {
            links.emplace(name, target.gate);
        } else if (target.group.isEmpty() || target.rank == 0) {
            const EngineKind kind{target.service, target.models};
            engines[kind][target.zone].push_back(&target);
            ++totals[kind];
        }
    }
    for (const auto &[kind, zones] : engines) {
        for (const auto &[zone, targets] : zones) {
            addSubset(links, targets,
                      {.entryIndex = options.entryNumber,
                       .size = zoneShare(options.targetsPerKind, targets.size(), totals[kind])});
        }
    }
    return links;
}

} // namespace Heatherridge
