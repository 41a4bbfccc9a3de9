#pragma once

#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heatherridge_state/decisions/loadestimate.h"
#include "heatherridge_state/decisions/targetadmission.h"
#include "heatherridge_state/routing/targetentry.h"
#include "heatherridge_transport/direct/engineshares.h"

#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** The state of one target as estimated by one gateway. */
struct GatewayTarget
{
    TargetEntry entry{};
    LoadEstimate load{};
    SteadyTime lastReceivedAt{}; ///< when bytes of any response last arrived from it
    std::optional<EngineView> engine{}; ///< last report of an engine in an expert group
    int sentSinceReport = 0; ///< requests sent by this gateway since the engine's last report
    SteadyTime refusedUntil{}; ///< set when it refused a request; nothing is sent before this time
    TargetAdmission admission{}; ///< by its own statements
};

/** Returns the average load that other entries put on each of @p targets, weighted by how recent the reports are. */
double averageOtherLoad(const std::vector<GatewayTarget *> &targets, SteadyTime now);

/** Returns what the engines of @p service have reported. @param averageOthers see LoadEstimate::total() */
EngineReports engineReports(const std::map<TargetName, GatewayTarget> &targets, const ServiceName &service,
                            double averageOthers, SteadyTime now);

} // namespace Heatherridge
