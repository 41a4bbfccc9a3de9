#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/decisions/fairshare.h"
#include "heatherridge_state/demand/demandmeter.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace Heatherridge;

namespace
{

const ServiceName Service("engines");
const SteadyTime Start{};

std::vector<DemandMeter::StreamClass> makeClasses(std::int64_t workspaces)
{
    std::vector<DemandMeter::StreamClass> classes;
    for (std::int64_t index = 0; index < workspaces; ++index) {
        classes.push_back({.service = Service,
                           .priority = static_cast<int>(index % 3),
                           .workspace = WorkspaceName("workspace-" + std::to_string(index))});
    }
    return classes;
}

/** Records arrivals of all of @p classes in turn, 1 ms apart. */
class Arrivals
{
public:
    explicit Arrivals(std::int64_t workspaces)
        : m_classes(makeClasses(workspaces))
    {
        for (int arrival = 0; arrival < 5'000; ++arrival) {
            record();
        }
    }

    DemandMeter::Stream record()
    {
        now += std::chrono::milliseconds(1);
        // Half of the arrivals are those of one workspace.
        return meter.recordArrival(m_classes[m_random.below(2) == 0 ? 0 : m_random.below(m_classes.size())], now);
    }

    DemandMeter meter;
    SteadyTime now = Start;

private:
    std::vector<DemandMeter::StreamClass> m_classes;
    SeededRandom m_random{1};
};

/** One stream from its arrival to its end: four updates of the meter. */
void meterOneStream(benchmark::State &state)
{
    Arrivals arrivals(state.range(0));
    for (auto _ : state) {
        auto stream = arrivals.record();
        stream.setWaiting();
        stream.setInProgress();
    }
}

/** The demand of one service, as stated to the other gateways and used for each update of the shares. */
void stateDemand(benchmark::State &state)
{
    Arrivals arrivals(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(arrivals.meter.demandOf(Service, arrivals.now));
    }
}

/** One update of the fair shares during a shortage, which happens ten times a second for each service. */
void updateShares(benchmark::State &state)
{
    Arrivals arrivals(state.range(0));
    auto demand = arrivals.meter.demandOf(Service, arrivals.now);
    demand.ranks[0].waiting = 1'000;
    FairShare share;
    auto now = arrivals.now;
    for (auto _ : state) {
        now += std::chrono::milliseconds(100);
        share.update(demand, 600, now);
    }
    state.counters["over-share"] = static_cast<double>(share.overShareCount());
}

/** Whether the workspace of one stream is over its share. */
void decideOne(benchmark::State &state)
{
    Arrivals arrivals(state.range(0));
    auto demand = arrivals.meter.demandOf(Service, arrivals.now);
    demand.ranks[0].waiting = 1'000;
    FairShare share;
    share.update(demand, 600, arrivals.now);
    share.update(demand, 600, arrivals.now + FairShare::MeasuringTime);
    const WorkspaceName workspace("workspace-0");
    for (auto _ : state) {
        benchmark::DoNotOptimize(share.isOverShare(workspace));
    }
    state.counters["over-share"] = static_cast<double>(share.overShareCount());
}

BENCHMARK(meterOneStream)->Arg(24)->Arg(450);
BENCHMARK(stateDemand)->Arg(24)->Arg(450);
BENCHMARK(updateShares)->Arg(24)->Arg(450);
BENCHMARK(decideOne)->Arg(24)->Arg(450);

} // namespace

BENCHMARK_MAIN();
