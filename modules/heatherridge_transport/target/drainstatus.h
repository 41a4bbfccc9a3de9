#pragma once

#include "heatherridge_state/membership/draintracker.h"
#include "heatherridge_transport/app/configview.h"

#include <nlohmann/json.hpp>

namespace Heatherridge
{

/** Sets and clears the drain causes of @p target according to @p view, at the time @p now. */
void updateDrainCauses(DrainTracker &drain, const ConfigView &view, const TargetName &target, SteadyTime now);

/** State of a drain for the operator: its phase, cause and duration, and the open requests with their ages. */
struct DrainReport
{
    DrainPhase phase = DrainPhase::Accepting;
    std::optional<DrainCause> cause{};
    std::optional<std::chrono::milliseconds> duration{};
    std::vector<std::pair<RequestId, std::chrono::milliseconds>> open{}; ///< oldest first, each with its running time
    std::size_t openCount = 0;
};

/** Returns the report on @p drain at the time @p now. Lists at most MaxListedRequests requests. */
DrainReport makeDrainReport(const DrainTracker &drain, SteadyTime now);

/** Maximum number of requests listed in a report. */
inline constexpr std::size_t MaxListedRequests = 20;

/** Returns @p report as JSON for the operator. */
nlohmann::ordered_json toJson(const DrainReport &report);

} // namespace Heatherridge
