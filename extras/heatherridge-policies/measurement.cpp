#include "measurement.h"

#include <algorithm>
#include <future>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace Heatherridge::PolicyModel
{

namespace
{

struct Column
{
    const char *title;
    int digits;
    double (*value)(const Figures &);
};

constexpr Column Columns[] = {
    {"offered/s", 0, [](const Figures &f) { return f.offered; }},
    {"good/s", 1, [](const Figures &f) { return f.goodput; }},
    {"good cost/s", 0, [](const Figures &f) { return f.goodCost; }},
    {"first p50", 0, [](const Figures &f) { return f.firstTokenP50; }},
    {"first p99", 0, [](const Figures &f) { return f.firstTokenP99; }},
    {"short p99", 0, [](const Figures &f) { return f.shortFirstTokenP99; }},
    {"gap p95", 0, [](const Figures &f) { return f.tokenGapP95; }},
    {"total p99", 0, [](const Figures &f) { return f.totalP99; }},
    {"share", 2, [](const Figures &f) { return f.lowestShare; }},
    {"attempts", 3, [](const Figures &f) { return f.attemptsPerRequest; }},
    {"refused p99", 0, [](const Figures &f) { return f.refusalWaitP99; }},
    {"late/s", 1, [](const Figures &f) { return f.late; }},
    {"shifts", 0, [](const Figures &f) { return f.shiftsPerMinute; }},
    {"hits", 2, [](const Figures &f) { return f.cacheHits; }},
    {"local", 2, [](const Figures &f) { return f.localShare; }},
    {"limit", 0, [](const Figures &f) { return f.meanLimit; }},
};

std::vector<Figures> runSeeds(ScenarioOptions options, int seeds)
{
    std::vector<std::future<Figures>> runs;
    for (int seed = 1; seed <= seeds; ++seed) {
        options.seed = static_cast<std::uint64_t>(seed);
        runs.push_back(std::async(std::launch::async, [options] { return run(options); }));
    }
    std::vector<Figures> figures;
    std::transform(runs.begin(), runs.end(), std::back_inserter(figures), [](auto &run) { return run.get(); });
    return figures;
}

std::string formatMeanAndRange(const std::vector<Figures> &figures, const Column &column)
{
    double sum = 0;
    double lowest = column.value(figures.front());
    double highest = lowest;
    for (const auto &seedFigures : figures) {
        const double value = column.value(seedFigures);
        sum += value;
        lowest = std::min(lowest, value);
        highest = std::max(highest, value);
    }
    std::ostringstream text;
    text << std::fixed << std::setprecision(column.digits) << sum / static_cast<double>(figures.size());
    if (highest > lowest) {
        text << " (" << lowest << "-" << highest << ")";
    }
    return text.str();
}

/** Formats the mean of each named count over the seeds; a name missing from a run counts as 0. */
std::string formatCounts(const std::vector<Figures> &figures, std::map<std::string, double> Figures::*member)
{
    std::map<std::string, double> sums;
    for (const auto &seedFigures : figures) {
        for (const auto &[name, value] : seedFigures.*member) {
            sums[name] += value / static_cast<double>(figures.size());
        }
    }
    std::ostringstream text;
    text << std::fixed << std::setprecision(1);
    for (const auto &[name, value] : sums) {
        text << (text.tellp() > 0 ? ", " : "") << name << " " << value;
    }
    return text.str();
}

} // namespace

void printTable(const std::string &title, const std::vector<Measurement> &measurements, int seeds)
{
    std::cout << "\n### " << title << "\n\n| |";
    for (const auto &column : Columns) {
        std::cout << " " << column.title << " |";
    }
    std::cout << " refused/s | retry verdicts/s |\n|---|";
    for (std::size_t i = 0; i < std::size(Columns) + 2; ++i) {
        std::cout << "---|";
    }
    std::cout << "\n";
    for (const auto &measurement : measurements) {
        const auto figures = runSeeds(measurement.options, seeds);
        std::cout << "| " << measurement.name << " |";
        for (const auto &column : Columns) {
            std::cout << " " << formatMeanAndRange(figures, column) << " |";
        }
        std::cout << " " << formatCounts(figures, &Figures::refusals) << " | "
                  << formatCounts(figures, &Figures::verdicts) << " |" << std::endl;
    }
}

} // namespace Heatherridge::PolicyModel
