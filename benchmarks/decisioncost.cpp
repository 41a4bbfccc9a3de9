#include "heatherridge_state/heatherridge_state.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace Heatherridge;

namespace
{

std::vector<TargetView> makeViews(std::size_t count)
{
    std::vector<TargetView> views;
    for (std::size_t i = 0; i < count; ++i) {
        views.push_back({.key = targetKey(TargetName("t" + std::to_string(i))),
                         .reportedLoad = static_cast<double>(i % 17) * 300,
                         .reportedCapacity = 15'000,
                         .ownLoad = static_cast<double>(i % 5) * 300,
                         .prefixTokens = i % 16 == 3 ? 1'024U : 0U});
    }
    return views;
}

/** Places one request among state.range(0) targets; "bytes" is the size of the views, all of which are read. */
void placeOne(benchmark::State &state, const PlacementRules &rules)
{
    const auto views = makeViews(static_cast<std::size_t>(state.range(0)));
    Placement placement(rules);
    SeededRandom random(1);
    std::uint64_t key = 1;
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            placement.choose(views, {.cost = 300, .promptTokens = 1'500, .affinityKey = ++key}, random));
    }
    state.counters["bytes"] = static_cast<double>(views.size() * sizeof(TargetView));
}

/** Offers, starts and finishes one request while requests of state.range(0) workspaces are queued. */
void admitOne(benchmark::State &state)
{
    const auto workspaces = state.range(0);
    AdmissionQueue queue({.queueCapacity = static_cast<std::size_t>(2 * workspaces + 8)});
    const SteadyTime start{};
    const auto request = [&](std::int64_t number) {
        return WorkRequest{.id = RequestId(std::to_string(number)),
                           .workspace = WorkspaceName("w" + std::to_string(number % workspaces)),
                           .cost = 300,
                           .deadline = start + std::chrono::hours(1)};
    };
    std::int64_t number = 0;
    queue.offer(request(number++), start);
    auto running = RequestId("0");
    for (std::int64_t i = 0; i < workspaces; ++i) {
        queue.offer(request(number++), start);
    }
    for (auto _ : state) {
        queue.offer(request(number++), start);
        queue.finish(running, 300, start);
        running = *queue.startNext(start);
    }
}

/** Hashes the blocks of an 8 KB prompt and looks them up in a full index. */
void matchPrefix(benchmark::State &state)
{
    PrefixIndex index;
    const SteadyTime start{};
    for (std::uint32_t i = 0; i < 2'000; ++i) {
        index.insert(static_cast<TargetSlot>(i % 64),
                     PrefixIndex::hashChain(std::string(8'192, 'a') + std::to_string(i)), start);
    }
    const std::string prompt(8'192, 'a');
    for (auto _ : state) {
        benchmark::DoNotOptimize(index.match(PrefixIndex::hashChain(prompt), start));
    }
}

/** Chooses the subset of one entry from state.range(0) targets, as happens when the inventory changes. */
void chooseSubset(benchmark::State &state)
{
    std::vector<std::uint64_t> keys;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        keys.push_back(targetKey(TargetName("t" + std::to_string(i))));
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(SubsetSelection::choose(keys, {.entryIndex = 7, .size = 64}));
    }
}

BENCHMARK_CAPTURE(placeOne, cost, CostPlacementOptions{})->Arg(16)->Arg(64)->Arg(160)->Arg(1600)->Arg(4800);
BENCHMARK_CAPTURE(placeOne, twoChoices, TwoChoicesOptions{})->Arg(16)->Arg(64)->Arg(160)->Arg(1600)->Arg(4800);
BENCHMARK_CAPTURE(placeOne, consistentHash, HashOptions{})->Arg(16)->Arg(64)->Arg(160)->Arg(1600)->Arg(4800);
BENCHMARK(admitOne)->Arg(10)->Arg(50)->Arg(150)->Arg(450);
BENCHMARK(matchPrefix);
BENCHMARK(chooseSubset)->Arg(160)->Arg(1600)->Arg(4800);

} // namespace

BENCHMARK_MAIN();
