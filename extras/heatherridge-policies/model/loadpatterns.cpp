#include "loadpatterns.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Heatherridge::PolicyModel
{

namespace
{

using namespace std::chrono_literals;

ScenarioOptions atShareOfPeak(double shareOfPeak)
{
    ScenarioOptions options;
    options.workload.rate = shareOfPeak * PeakRate;
    return options;
}

ScenarioOptions withFault(double shareOfPeak, Fault fault)
{
    auto options = atShareOfPeak(shareOfPeak);
    options.faults = {fault};
    return options;
}

ScenarioOptions burst()
{
    auto options = atShareOfPeak(0.8);
    options.workload.burstFrom = SteadyTime(35s);
    options.workload.burstUntil = SteadyTime(40s);
    options.workload.burstFactor = 3;
    return options;
}

/** One of the eight small workspaces sends more than all others together; without it, the load would fit. */
ScenarioOptions noisyWorkspace()
{
    auto options = atShareOfPeak(2);
    options.workload.customers = tenCustomers();
    options.workload.customers.back().demand = 20;
    return options;
}

ScenarioOptions hotPrefix()
{
    auto options = atShareOfPeak(0.8);
    options.workload.zipf = 2;
    return options;
}

/** A request with a long prompt costs about five times as much as a short one. */
ScenarioOptions longAmongShort()
{
    auto options = atShareOfPeak(0.28);
    options.workload.longShare = 0.1;
    return options;
}

ScenarioOptions retryStorm()
{
    auto options = withFault(0.8, {.from = 45s, .until = 50s, .type = OutageFault{}});
    options.entry.maxClientRetries = 3;
    return options;
}

ScenarioOptions coldStart()
{
    auto options = withFault(1.2, {.from = 35s, .until = 45s, .type = OutageFault{}});
    options.entry.maxClientRetries = 2;
    return options;
}

constexpr std::array Patterns{
    LoadPattern{"steady", "80% of the peak", [] { return atShareOfPeak(0.8); }},
    LoadPattern{"burst", "three times the load for 5 s", burst},
    LoadPattern{"hog", "one small workspace sends more than all others together", noisyWorkspace},
    LoadPattern{"hot-prefix", "two thirds of all prompts share one beginning", hotPrefix},
    LoadPattern{
        "slow-target", "one engine takes four times as long for 30 s",
        [] { return withFault(0.8, {.from = 40s, .until = 70s, .type = SlowFault{.target = 3, .factor = 4}}); }},
    LoadPattern{"long-among-short", "one prompt in ten is eight times as long", longAmongShort},
    LoadPattern{"saturation-2x", "twice the peak", [] { return atShareOfPeak(2); }},
    LoadPattern{"saturation-10x", "ten times the peak", [] { return atShareOfPeak(10); }},
    LoadPattern{"zone-lost", "a third of the hosts is down for 20 s, with what they ran",
                [] { return withFault(0.6, {.from = 45s, .until = 65s, .type = ZoneFault{1}}); }},
    LoadPattern{"flapping-reports", "reports say idle and full in turn for 30 s",
                [] { return withFault(0.8, {.from = 40s, .until = 70s, .type = FlappingFault{}}); }},
    LoadPattern{"retry-storm", "all hosts are down for 5 s, and callers come back when told", retryStorm},
    LoadPattern{"cold-start", "all hosts come back cold after 10 s, to more load than they can do", coldStart},
};

} // namespace

std::span<const LoadPattern> allLoadPatterns()
{
    return Patterns;
}

ScenarioOptions loadPattern(std::string_view name)
{
    const auto pattern =
        std::find_if(Patterns.begin(), Patterns.end(), [name](const auto &row) { return row.name == name; });
    assert(pattern != Patterns.end());
    return pattern->make();
}

} // namespace Heatherridge::PolicyModel
