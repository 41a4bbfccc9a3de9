#pragma once

#include "heatherridge_state/membership/draintracker.h"
#include "heatherridge_transport/app/configview.h"

#include <nlohmann/json.hpp>

namespace Heatherridge
{

/** Sets and lifts the causes of a drain that @p view gives for @p target, as of @p now. */
void updateDrainCauses(DrainTracker &drain, const ConfigView &view, const TargetName &target, SteadyTime now);

/** What the operator sees of a drain: its phase, cause and begin, and what is open and since when. */
struct DrainReport
{
    DrainPhase phase = DrainPhase::Accepting;
    std::optional<DrainCause> cause{};
    std::optional<std::chrono::milliseconds> duration{};
    std::vector<std::pair<RequestId, std::chrono::milliseconds>> open{}; ///< the oldest first, and how long it has run
    std::size_t openCount = 0;
};

/** The report on @p drain as of @p now; it names at most MaxListedRequests requests. */
DrainReport makeDrainReport(const DrainTracker &drain, SteadyTime now);

/** Requests that a report names. */
inline constexpr std::size_t MaxListedRequests = 20;

/** The report for the operator. */
nlohmann::ordered_json toJson(const DrainReport &report);

} // namespace Heatherridge
