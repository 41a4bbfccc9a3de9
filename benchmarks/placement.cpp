#include "heatherridge_state/groups/placement.h"

#include "heatherridge_state/base/randomsource.h"

#include <benchmark/benchmark.h>

#include <cmath>

using namespace Heatherridge;

namespace
{

/** Returns a problem whose hottest expert has several times the mean load, as on engines with skewed routing. */
GroupProblem makeProblem(int layers, int experts, int ranks, SeededRandom &random)
{
    const int slots = 2 * experts / ranks > 2 ? 2 * experts / ranks : 2;
    GroupProblem problem{.shape = {.layers = layers,
                                   .experts = experts,
                                   .expertBytes = 1,
                                   .slots = std::vector<int>(static_cast<std::size_t>(ranks), slots)}};
    for (int layer = 0; layer < layers; ++layer) {
        LayerProblem layerProblem{.slowness = std::vector<double>(static_cast<std::size_t>(ranks), 1),
                                  .slots = problem.shape.slots};
        for (int expert = 0; expert < experts; ++expert) {
            layerProblem.load.push_back(std::exp(2 * (random.fraction() + random.fraction() - 1)));
        }
        problem.layers.push_back(std::move(layerProblem));
    }
    return problem;
}

void applyDrift(GroupProblem &problem, SeededRandom &random)
{
    for (auto &layer : problem.layers) {
        for (auto &load : layer.load) {
            load *= std::exp(0.2 * (random.fraction() - 0.5));
        }
    }
}

void setCounters(benchmark::State &state, const GroupProblem &problem, const std::vector<LayerPlacement> &layers)
{
    state.counters["skew"] = stepSkew(problem, layers);
    state.counters["bound"] = stepSkewLowerBound(problem);
}

/** Computes a placement without a current one. Arguments: layers, experts per layer, ranks. */
void firstPlacement(benchmark::State &state)
{
    SeededRandom random(1);
    const auto problem = makeProblem(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)),
                                     static_cast<int>(state.range(2)), random);
    std::vector<LayerPlacement> layers;
    for (auto _ : state) {
        layers = std::get<std::vector<LayerPlacement>>(improvePlacement(problem, {}, {}));
    }
    setCounters(state, problem, layers);
}

/** The usual case: improves the current placement after the loads have drifted by up to a tenth. */
void improvedPlacement(benchmark::State &state)
{
    SeededRandom random(1);
    auto problem = makeProblem(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)),
                               static_cast<int>(state.range(2)), random);
    const auto current = std::get<std::vector<LayerPlacement>>(improvePlacement(problem, {}, {}));
    applyDrift(problem, random);
    std::vector<LayerPlacement> layers;
    for (auto _ : state) {
        layers = std::get<std::vector<LayerPlacement>>(improvePlacement(problem, current, {.penaltyPerExpert = 0.005}));
    }
    setCounters(state, problem, layers);
}

void addSizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->ArgNames({"layers", "experts", "ranks"})->Unit(benchmark::kMillisecond);
    for (const int layers : {15, 30, 60}) {
        benchmark->Args({layers, 64, 64});
    }
    for (const int ranks : {8, 16, 32}) {
        benchmark->Args({60, 64, ranks});
    }
    for (const int experts : {128, 256}) {
        benchmark->Args({60, experts, 64});
    }
}

BENCHMARK(firstPlacement)->Apply(addSizes);
BENCHMARK(improvedPlacement)->Apply(addSizes);

} // namespace

BENCHMARK_MAIN();
