#include "measurement.h"

#include <boost/program_options.hpp>

#include <functional>
#include <iostream>

using namespace Heatherridge;
using namespace Heatherridge::PolicyModel;

namespace
{

/** A single change to the options of a scenario. */
struct Variation
{
    std::string name{};
    std::function<void(ScenarioOptions &)> apply{};
};

std::vector<Variation> placements()
{
    return {
        {"ours", [](auto &) {}},
        {"oracle",
         [](auto &options) {
             options.entry.oracle = true;
             options.entry.placement = CostPlacementOptions{.samples = options.targets};
         }},
        {"two choices", [](auto &options) { options.entry.placement = TwoChoicesOptions{}; }},
        {"least requests", [](auto &options) { options.entry.placement = LeastRequestsOptions{}; }},
        {"round robin", [](auto &options) { options.entry.placement = RoundRobinOptions{}; }},
        {"consistent hash", [](auto &options) { options.entry.placement = HashOptions{}; }},
    };
}

Variation fixedLimit(std::size_t limit)
{
    return {"fixed limit " + std::to_string(limit), [limit](auto &options) {
                options.gate.adaptive = false;
                options.gate.fixedLimit = limit;
            }};
}

Variation withPlacement(std::string name, CostPlacementOptions placement)
{
    return {std::move(name), [placement](auto &options) { options.entry.placement = placement; }};
}

std::vector<Variation> mechanisms()
{
    using std::chrono::milliseconds;
    return {
        {"all", [](auto &) {}},
        fixedLimit(16),
        fixedLimit(48),
        fixedLimit(96),
        {"no admission queue", [](auto &options) { options.gate.admission = false; }},
        withPlacement("no prefixes", {.usePrefix = false}),
        withPlacement("no reports", {.useReports = false}),
        withPlacement("1 sample", {.samples = 1}),
        withPlacement("4 samples", {.samples = 4}),
        withPlacement("all samples", {.samples = 16}),
        withPlacement("zone price 100", {.zonePrice = 100}),
        {"no reports on frames", [](auto &options) { options.frameInterval = milliseconds(0); }},
        {"no cache events", [](auto &options) { options.cacheEvents = false; }},
        {"gaps distrusted", [](auto &options) { options.entry.dropPrefixesOnGap = true; }},
        {"no pressure", [](auto &options) { options.entry.usePressure = false; }},
        {"no slowness", [](auto &options) { options.entry.slowness = false; }},
        {"no ejection", [](auto &options) { options.entry.health = false; }},
        {"no retries", [](auto &options) { options.entry.retries = false; }},
        {"no retry budget", [](auto &options) { options.entry.budget = false; }},
    };
}

std::vector<Measurement> measurementsOf(const std::vector<Variation> &variations, const ScenarioOptions &base)
{
    std::vector<Measurement> measurements;
    for (const auto &variation : variations) {
        auto options = base;
        variation.apply(options);
        measurements.push_back({.name = variation.name, .options = options});
    }
    return measurements;
}

void printSweep(int seeds)
{
    std::vector<Measurement> sweep;
    for (const double share : {0.4, 0.6, 0.8, 0.9, 1.0, 1.1, 1.25, 2.0, 4.0, 10.0}) {
        auto options = loadPattern("steady");
        options.workload.rate = share * PeakRate;
        sweep.push_back({.name = std::to_string(static_cast<int>(share * 100)) + "%", .options = options});
    }
    printTable("load sweep, in percent of " + std::to_string(static_cast<int>(PeakRate)) + " requests/s", sweep, seeds);
}

} // namespace

/**
 * Measures placement, admission and retry decisions under load on a virtual clock; prints Markdown tables.
 *
 * Times are in milliseconds. "share" is the lowest ratio of received to fair share over all workspaces. "shifts" counts
 * changes of a target's share of the traffic by more than half the mean share, per minute and target. The range over
 * the seeds is in brackets.
 */
int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    int seeds = 0;
    std::string selection;
    po::options_description description("heatherridge-policies: measures decisions under load on a virtual clock");
    description.add_options()("help", "print this")("seeds", po::value(&seeds)->default_value(5), "seeds per row")(
        "only", po::value(&selection), "measure only this: sweep, mechanisms or a pattern name");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << "heatherridge-policies: " << error.what() << "\n";
        return 2;
    }
    if (values.contains("help") || seeds < 1) {
        std::cout << description;
        return seeds < 1 ? 2 : 0;
    }
    if (selection.empty() || selection == "sweep") {
        printSweep(seeds);
    }
    for (const auto &pattern : allLoadPatterns()) {
        if (selection.empty() || selection == pattern.name) {
            printTable(std::string(pattern.name) + ": " + std::string(pattern.summary),
                       measurementsOf(placements(), pattern.make()), seeds);
        }
    }
    for (const auto *name :
         {"steady", "hog", "slow-target", "saturation-2x", "saturation-10x", "zone-lost", "retry-storm"}) {
        if (selection.empty() || selection == "mechanisms") {
            printTable(std::string("mechanisms, ") + name, measurementsOf(mechanisms(), loadPattern(name)), seeds);
        }
    }
    return 0;
}
