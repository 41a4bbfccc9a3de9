#pragma once

#include "fakeentry.h"

#include <variant>

namespace Heatherridge::PolicyModel
{

/** The engine of @p target takes @p factor times as long while the fault lasts. */
struct SlowFault
{
    std::size_t target = 0;
    double factor = 4;
};

/** All hosts of a zone are down while the fault lasts; their running attempts are lost. */
struct ZoneFault
{
    int zone = 0;
};

/** All hosts are down while the fault lasts and restart with cold caches. */
struct OutageFault
{
};

/** Reports alternately claim that a target is idle and that it is full. */
struct FlappingFault
{
};

/** A fault that is active between two times, measured from the start of the run. */
struct Fault
{
    std::chrono::milliseconds from{};
    std::chrono::milliseconds until{};
    std::variant<SlowFault, ZoneFault, OutageFault, FlappingFault> type{};
};

/** Options of one run: deployment, offered load and faults. */
struct ScenarioOptions
{
    WorkloadOptions workload{};
    GateOptions gate{};
    EngineOptions engine{};
    EntryOptions entry{};
    std::size_t targets = 16;
    std::size_t entries = 6;
    int zones = 3;
    std::chrono::milliseconds heartbeatInterval{250};
    std::chrono::milliseconds reportDelay{50}; ///< delivery delay of heartbeats
    std::chrono::milliseconds frameInterval{
        50}; ///< interval at which answer frames carry a report to entries with running attempts; 0 disables them
    bool cacheEvents = true; ///< whether heartbeats carry the engines' cache events to the entries
    double cacheEventsLost = 0.05; ///< share of heartbeats whose cache events do not reach a given entry
    std::chrono::milliseconds warmup{30'000};
    std::chrono::milliseconds measuredDuration{60'000};
    std::vector<Fault> faults{};
    std::uint64_t seed = 1;
};

/** Runs one scenario on a virtual clock and returns the figures as callers see them. */
Figures run(const ScenarioOptions &options);

} // namespace Heatherridge::PolicyModel
