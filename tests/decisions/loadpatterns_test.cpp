#include "model/loadpatterns.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

using namespace Heatherridge;
using namespace Heatherridge::PolicyModel;

namespace
{

/** Required figures under one pattern; the bounds leave room for other seeds, not for other behaviour. */
struct Expectation
{
    const char *pattern;
    double minGoodput; ///< minimum answered in time, relative to the lesser of the offered and the peak rate
    double maxFirstTokenMs; ///< maximum of the 99th percentile of the time to first token
    double minShare; ///< minimum of received over due share of any workspace
    double maxAttempts; ///< maximum attempts per request
    double maxRefusalWaitMs; ///< maximum of the 99th percentile of the wait for a refusal
    double maxShifts; ///< maximum shifts per minute and target
};

const Expectation Expectations[] = {
    // No request is refused or sent twice.
    {"steady", 0.999, 450, 0.99, 1.005, 0, 40},
    // A burst waits where there is capacity and is refused where there is none; the steady load before and after is not
    // affected.
    {"burst", 0.90, 9'000, 0.88, 1.10, 10'000, 40},
    // The workspace that floods the targets is limited to its share; each of the others gets its own share although it
    // sends a hundredth of that traffic.
    {"hog", 0.95, 6'000, 0.93, 1.10, 4'000, 40},
    // A prefix that most prompts share must not concentrate them on its first holder.
    {"hot-prefix", 0.999, 450, 0.99, 1.005, 0, 40},
    // One engine in sixteen takes four times as long: its work is moved elsewhere, and callers notice little.
    {"slow-target", 0.99, 600, 0.99, 1.01, 0, 40},
    // Long prompts take long; short calls beside them do not.
    {"long-among-short", 0.99, 2'500, 0.98, 1.02, 1'000, 60},
    {"saturation-2x", 0.95, 5'000, 0.93, 1.10, 4'000, 40},
    {"saturation-10x", 0.95, 6'000, 0.93, 1.10, 4'000, 40},
    // Requests that ran in the lost zone are repeated once elsewhere, within the budget.
    {"zone-lost", 0.97, 5'000, 0.93, 1.10, 15'000, 45},
    // Reports that are wrong in turn must not make traffic oscillate.
    {"flapping-reports", 0.99, 700, 0.99, 1.01, 0, 40},
    // All targets are unreachable for 5 of 60 s: only their requests are lost, and retries add less than a tenth.
    {"retry-storm", 0.80, 3'500, 0.80, 1.10, 20'000, 45},
    {"cold-start", 0.70, 7'000, 0.90, 1.10, 8'000, 40},
};

class LoadPatterns : public testing::TestWithParam<Expectation>
{
};

double sumOf(const std::map<std::string, double> &counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0.0,
                           [](double sum, const auto &row) { return sum + row.second; });
}

TEST_P(LoadPatterns, MeetsExpectation)
{
    const auto &row = GetParam();
    auto options = loadPattern(row.pattern);
    options.seed = 20261202;
    const auto figures = run(options);
    EXPECT_GE(figures.goodput, row.minGoodput * std::min(figures.offered, PeakRate));
    EXPECT_LE(figures.firstTokenP99, row.maxFirstTokenMs);
    EXPECT_GE(figures.lowestShare, row.minShare);
    EXPECT_LE(figures.attemptsPerRequest, row.maxAttempts);
    EXPECT_LE(figures.refusalWaitP99, row.maxRefusalWaitMs);
    EXPECT_LE(figures.shiftsPerMinute, row.maxShifts);
    // Each incoming request was answered, refused with a counted reason, or retried by its caller after a refusal.
    EXPECT_GE(figures.goodput + figures.late + sumOf(figures.refusals), figures.offered * 0.999);
}

INSTANTIATE_TEST_SUITE_P(Table, LoadPatterns, testing::ValuesIn(Expectations), [](const auto &info) {
    std::string name = info.param.pattern;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

TEST(LoadPatterns, EveryPatternHasAnExpectation)
{
    ASSERT_EQ(std::size(Expectations), allLoadPatterns().size());
    for (std::size_t i = 0; i < allLoadPatterns().size(); ++i) {
        EXPECT_EQ(Expectations[i].pattern, allLoadPatterns()[i].name);
    }
}

// Each mechanism exists for a pattern. Without it callers must be worse off, or it is not worth its code.
struct MechanismRow
{
    const char *mechanism;
    const char *pattern;
    void (*remove)(ScenarioOptions &);
    bool (*isWorse)(const Figures &without, const Figures &with);
};

const MechanismRow MechanismRows[] = {
    {"admission", "hog", [](auto &options) { options.gate.admission = false; },
     [](const auto &without, const auto &with) {
         return without.lowestShare < with.lowestShare - 0.3 && without.firstTokenP99 > 5 * with.firstTokenP99;
     }},
    {"prefixes", "steady", [](auto &options) { options.entry.placement = CostPlacementOptions{.usePrefix = false}; },
     [](const auto &without, const auto &with) { return without.firstTokenP99 > 2 * with.firstTokenP99; }},
    {"random samples", "steady",
     [](auto &options) { options.entry.placement = CostPlacementOptions{.samples = 16, .usePrefix = false}; },
     [](const auto &without, const auto &with) { return without.shiftsPerMinute > with.shiftsPerMinute; }},
    {"pressure", "hog", [](auto &options) { options.entry.usePressure = false; },
     [](const auto &without, const auto &with) { return without.lowestShare < with.lowestShare - 0.1; }},
    {"retry budget", "saturation-10x", [](auto &options) { options.entry.budget = false; },
     [](const auto &without, const auto &with) { return without.attemptsPerRequest > with.attemptsPerRequest + 0.5; }},
    {"ejection", "zone-lost", [](auto &options) { options.entry.health = false; },
     [](const auto &without, const auto &with) { return sumOf(without.refusals) > 3 * sumOf(with.refusals); }},
};

class Mechanisms : public testing::TestWithParam<MechanismRow>
{
};

TEST_P(Mechanisms, ImproveTheirPattern)
{
    auto options = loadPattern(GetParam().pattern);
    const auto with = run(options);
    GetParam().remove(options);
    EXPECT_TRUE(GetParam().isWorse(run(options), with)) << GetParam().mechanism;
}

INSTANTIATE_TEST_SUITE_P(Table, Mechanisms, testing::ValuesIn(MechanismRows));

} // namespace
