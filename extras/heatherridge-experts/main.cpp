#include "simulation.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <future>
#include <iostream>

using namespace Heatherridge;

namespace
{

/** Layers of the modelled network; a run with fewer layers has proportionally larger experts. */
constexpr int ModelLayers = 60;
constexpr double ExpertMegabytes = 44;
constexpr int RanksPerHost = 8;
constexpr int HostsPerZone = 4;

struct Deployment
{
    const char *name;
    BalanceWeights weights;
};

const Deployment Deployments[] = {
    {"Blue Mahoe", {.skew = 4, .cost = 1}},
    {"Ferrauto", {.skew = 1, .cost = 4}},
};

struct NamedPolicy
{
    const char *name;
    RebalancePolicy policy;
};

std::vector<NamedPolicy> policies()
{
    using std::chrono::minutes;
    return {
        {"ours", RegretRebalance{}},
        {"never", NeverRebalance{}},
        {"greedy, always", PeriodicRebalance{.method = BaselinePlacement::Greedy}},
        {"greedy, 30 min", PeriodicRebalance{.method = BaselinePlacement::Greedy, .period = minutes(30)}},
        {"replicated, always", PeriodicRebalance{.method = BaselinePlacement::Replicated}},
        {"replicated, 10 min", PeriodicRebalance{.method = BaselinePlacement::Replicated, .period = minutes(10)}},
        {"replicated, 60 min", PeriodicRebalance{.method = BaselinePlacement::Replicated, .period = minutes(60)}},
        {"hierarchical, always", PeriodicRebalance{.method = BaselinePlacement::Hierarchical}},
        {"hierarchical, 30 min", PeriodicRebalance{.method = BaselinePlacement::Hierarchical, .period = minutes(30)}},
    };
}

struct Settings
{
    int seeds = 5;
    double hours = 4;
    int layers = 6;
    int ranks = 64;
    int slots = 2;
    double storeMegabytesPerSecond = 2000;
    std::string trace;
};

GroupShape makeGroupShape(const Settings &settings)
{
    GroupShape shape{.layers = settings.layers,
                     .experts = 64,
                     .expertBytes = static_cast<std::uint64_t>(ExpertMegabytes * 1e6 * ModelLayers / settings.layers),
                     .slots = std::vector<int>(static_cast<std::size_t>(settings.ranks), settings.slots),
                     .locations = {}};
    for (int rank = 0; rank < settings.ranks; ++rank) {
        shape.locations.push_back({.host = rank / RanksPerHost, .zone = rank / (RanksPerHost * HostsPerZone)});
    }
    return shape;
}

SimulationResult meanOverSeeds(const Settings &settings, TraceKind kind, const BalanceWeights &weights,
                               const RebalancePolicy &policy)
{
    std::vector<std::future<SimulationResult>> runs;
    for (int seed = 1; seed <= settings.seeds; ++seed) {
        const TraceOptions trace{.shape = makeGroupShape(settings),
                                 .kind = kind,
                                 .seed = static_cast<std::uint64_t>(seed),
                                 .windows = static_cast<int>(settings.hours * 360)};
        runs.push_back(std::async(std::launch::async, [&settings, trace, weights, policy] {
            const SimulationOptions options{
                .trace = trace, .weights = weights, .storeBytesPerSecond = settings.storeMegabytesPerSecond * 1e6};
            return simulate(options, policy);
        }));
    }
    SimulationResult sum;
    for (auto &run : runs) {
        sum += run.get();
    }
    return sum.dividedBy(settings.seeds);
}

void printTable(const Settings &settings, TraceKind kind, const Deployment &deployment)
{
    std::printf("\n%s, %s (skew %g, cost %g)\n\n", std::string(toString(kind)).c_str(), deployment.name,
                deployment.weights.skew, deployment.weights.cost);
    std::printf("| policy | mean skew | p99 skew | bound | GB moved | switches | stalled s | score |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &[name, policy] : policies()) {
        const auto mean = meanOverSeeds(settings, kind, deployment.weights, policy);
        std::printf("| %s | %.3f | %.3f | %.3f | %.0f | %d | %.1f | %.3f |\n", name, mean.meanSkew, mean.p99Skew,
                    mean.boundSkew, mean.bytesMoved / 1e9, mean.switches, mean.stallTime.count(), mean.score);
    }
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    Settings settings;
    options::options_description description(
        "heatherridge-experts: runs rebalancing policies on generated load traces\nOptions");
    auto add = description.add_options();
    add("help", "print this help");
    add("seeds", options::value(&settings.seeds)->default_value(settings.seeds), "number of seeds per trace");
    add("hours", options::value(&settings.hours)->default_value(settings.hours), "length of a trace");
    add("layers", options::value(&settings.layers)->default_value(settings.layers),
        "layers to simulate; with fewer than the 60 of the model, experts are proportionally larger");
    add("ranks", options::value(&settings.ranks)->default_value(settings.ranks), "ranks of the group");
    add("slots", options::value(&settings.slots)->default_value(settings.slots), "expert slots per layer on each rank");
    add("store-rate",
        options::value(&settings.storeMegabytesPerSecond)->default_value(settings.storeMegabytesPerSecond),
        "load rate of the group from the weight store, MB/s");
    add("trace", options::value(&settings.trace), "run only this trace: drift, season, hot-expert, slow-rank or noise");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n' << description;
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    for (const auto kind : allTraceKinds()) {
        if (settings.trace.empty() || settings.trace == toString(kind)) {
            for (const auto &deployment : Deployments) {
                printTable(settings, kind, deployment);
            }
        }
    }
    return 0;
}
