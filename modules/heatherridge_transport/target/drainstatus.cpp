#include "heatherridge_transport/target/drainstatus.h"

#include <array>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, 3> PhaseNames{"open", "draining", "drained"};

std::chrono::milliseconds elapsed(SteadyTime begin, SteadyTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - begin);
}

} // namespace

void updateDrainCauses(DrainTracker &drain, const ConfigView &view, const TargetName &target, SteadyTime now)
{
    const auto *entry = view.inventory->find(target);
    const bool withdrawn = entry == nullptr || entry->withdrawn || view.leaving.contains(target);
    drain.setCause(DrainCause::Withdrawal, withdrawn, now);
    drain.setCause(DrainCause::PlannedStop, view.rules->hasPlannedStop(target), now);
}

DrainReport makeDrainReport(const DrainTracker &drain, SteadyTime now)
{
    DrainReport report{.phase = drain.phase(), .cause = drain.cause(), .openCount = drain.runningCount()};
    if (const auto begin = drain.drainingSince()) {
        report.duration = elapsed(*begin, now);
    }
    for (const auto &work : drain.runningRequests(MaxListedRequests)) {
        report.open.emplace_back(work.id, elapsed(work.since, now));
    }
    return report;
}

nlohmann::ordered_json toJson(const DrainReport &report)
{
    auto open = nlohmann::ordered_json::array();
    for (const auto &[id, age] : report.open) {
        open.push_back({{"request", id.text()}, {"age_ms", age.count()}});
    }
    nlohmann::ordered_json json{{"phase", PhaseNames.at(static_cast<std::size_t>(report.phase))},
                                {"open_count", report.openCount},
                                {"open", open}};
    json["cause"] = report.cause ? nlohmann::ordered_json(toString(*report.cause)) : nullptr;
    json["lasting_ms"] = report.duration ? nlohmann::ordered_json(report.duration->count()) : nullptr;
    return json;
}

} // namespace Heatherridge
