#pragma once

#include "fakeentry.h"

#include <variant>

namespace Heatherridge::PolicyModel
{

/** One engine takes @p factor times as long for a while. */
struct SlowFault
{
    std::size_t target = 0;
    double factor = 4;
};

/** All hosts of a zone are down for a while, with what they ran. */
struct ZoneFault
{
    int zone = 0;
};

/** All hosts are down for a while and come back cold. */
struct OutageFault
{
};

/** Reports say in turn that a target is idle and that it is full. */
struct FlappingFault
{
};

/** Something that goes wrong between two times, counted from the start of the run. */
struct Fault
{
    std::chrono::milliseconds from{};
    std::chrono::milliseconds until{};
    std::variant<SlowFault, ZoneFault, OutageFault, FlappingFault> type{};
};

/** One run: who stands where, what is offered, what goes wrong. */
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
    std::chrono::milliseconds reportDelay{50}; ///< of heartbeats
    std::chrono::milliseconds frameInterval{
        50}; ///< how often frames of answers bring a report to entries with work; 0 for never
    bool cacheEvents = true; ///< engines' cache events reach the entries with the heartbeats
    double cacheEventsLost = 0.05; ///< share of heartbeats whose cache events are lost on the way to one entry
    std::chrono::milliseconds warmup{30'000};
    std::chrono::milliseconds measuredDuration{60'000};
    std::vector<Fault> faults{};
    std::uint64_t seed = 1;
};

/** Runs one scenario on a virtual clock and returns what callers got. */
Figures run(const ScenarioOptions &options);

} // namespace Heatherridge::PolicyModel
