#include "groups/groupproblems.h"

#include "heatherridge_state/groups/stragglerdetector.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

constexpr int Windows = 120;
constexpr double TokensPerLayer = 200'000;
constexpr std::chrono::duration<double> WindowLength{10};

struct EstimateCase
{
    const char *description;
    double jumpFactor; ///< factor applied to the load of expert 0 after half of the windows
    int dropEveryNth; ///< every n-th report is lost; 0 for none
    double maxRelativeError; ///< maximum relative error of expert 0's fraction at the end
    bool expectsJump;
};

const EstimateCase EstimateCases[] = {
    {"noise only", 1, 0, 0.03, false},
    {"noise only, every third report missing", 1, 3, 0.05, false},
    {"expert becomes hot suddenly", 6, 0, 0.05, true},
    {"expert becomes hot suddenly, every third report missing", 6, 3, 0.07, true},
};

class PopularityEstimates : public testing::TestWithParam<EstimateCase>
{
};

TEST_P(PopularityEstimates, TrackLoadChangesButNotNoise)
{
    const auto &row = GetParam();
    SeededRandom random(5);
    auto problem = randomProblem(uniformShape(2, 16, 8, 3), random, 1);
    const auto map = initialMap(problem);
    PopularityEstimator estimator(problem.shape);
    int count = 0;
    for (int window = 1; window <= Windows; ++window) {
        if (window == Windows / 2) {
            problem.layers[0].load[0] *= row.jumpFactor;
        }
        for (const auto &report : simulateReports(problem, map, window, TokensPerLayer, random)) {
            if (row.dropEveryNth == 0 || ++count % row.dropEveryNth != 0) {
                estimator.addReport(report, map);
            }
        }
        estimator.closeWindows(window);
    }
    double total = 0;
    for (const double load : problem.layers[0].load) {
        total += load;
    }
    const double expectedFraction = problem.layers[0].load[0] / total;
    EXPECT_NEAR(estimator.fractions(0)[0] / expectedFraction, 1, row.maxRelativeError) << row.description;
    EXPECT_EQ(estimator.jumpCount() > 0, row.expectsJump) << row.description << ": " << estimator.jumpCount();
}

INSTANTIATE_TEST_SUITE_P(Table, PopularityEstimates, testing::ValuesIn(EstimateCases));

TEST(PopularityEstimator, DropsDuplicateLateAndMismatchedReports)
{
    SeededRandom random(5);
    const auto problem = randomProblem(uniformShape(1, 4, 2, 2), random, 1);
    const auto map = initialMap(problem);
    PopularityEstimator estimator(problem.shape);
    auto report = simulateReports(problem, map, 1, TokensPerLayer, random)[0];
    estimator.addReport(report, map);
    estimator.addReport(report, map);
    EXPECT_EQ(estimator.droppedReportCount(), 1U);
    estimator.closeWindows(2 + PopularityEstimator::OpenWindows);
    report.rank = 1;
    estimator.addReport(report, map);
    EXPECT_EQ(estimator.droppedReportCount(), 2U);
    report.window = 9;
    report.map = MapNumber{99};
    estimator.addReport(report, map);
    EXPECT_EQ(estimator.droppedReportCount(), 3U);
}

struct StragglerCase
{
    const char *description;
    double slowness; ///< slowness of rank 2
    double loadFactor; ///< factor on the load of expert 0
    int slowWindows; ///< number of windows during which rank 2 is slow
    bool expectsStraggler;
};

const StragglerCase StragglerCases[] = {
    {"healthy", 1, 1, 30, false},       {"hot expert", 1, 5, 30, false},
    {"slow rank", 1.4, 1, 30, true},    {"slow rank with a hot expert elsewhere", 1.4, 5, 30, true},
    {"one long pause", 2, 1, 1, false},
};

class StragglerDetection : public testing::TestWithParam<StragglerCase>
{
};

TEST_P(StragglerDetection, DistinguishesSlowRanksFromHotExperts)
{
    const auto &row = GetParam();
    SeededRandom random(9);
    auto problem = randomProblem(uniformShape(2, 16, 8, 2), random, 0);
    const auto map = initialMap(problem);
    StragglerDetector detector(8);
    for (int window = 1; window <= 30; ++window) {
        for (auto &layer : problem.layers) {
            layer.load[0] = row.loadFactor;
            layer.slowness[2] = window <= row.slowWindows ? row.slowness : 1;
        }
        detector.addWindow(simulateReports(problem, map, window, TokensPerLayer, random));
    }
    for (int rank = 0; rank < 8; ++rank) {
        EXPECT_EQ(detector.isStraggler(rank), row.expectsStraggler && rank == 2)
            << row.description << ", rank " << rank;
    }
    if (row.expectsStraggler) {
        EXPECT_NEAR(detector.slowness(2), row.slowness, 0.1);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, StragglerDetection, testing::ValuesIn(StragglerCases));

struct DecisionCase
{
    const char *description;
    BalanceWeights weights;
    double loadFactor; ///< factor on the load of expert 0 while it is hot
    int hotWindows; ///< number of windows during which it is hot, out of 60
    double error; ///< relative error of the estimate
    bool expectsSwitch;
};

/** Loading one expert takes 20 s here, so a change must last to be worth its cost. */
const DecisionCase DecisionCases[] = {
    {"nothing changes", {1, 1}, 1, 60, 0, false},           {"lasting change, even weights", {1, 1}, 4, 60, 0, true},
    {"lasting change, cost heavy", {1, 8}, 4, 60, 0, true}, {"short swing, skew heavy", {8, 1}, 4, 3, 0, true},
    {"short swing, cost heavy", {1, 8}, 4, 3, 0, false},    {"change within the noise", {1, 1}, 1.15, 60, 0.1, false},
};

class RebalanceDecisions : public testing::TestWithParam<DecisionCase>
{
};

TEST_P(RebalanceDecisions, WeighGainAgainstCost)
{
    const auto &row = GetParam();
    SeededRandom random(4);
    auto problem = randomProblem(uniformShape(2, 16, 8, 3), random, 1);
    auto current = initialMap(problem).layers();
    RegretRebalance policy;
    int switchCount = 0;
    const double baseLoad = problem.layers[0].load[0];
    for (int window = 1; window <= 60; ++window) {
        problem.layers[0].load[0] = window <= row.hotWindows ? baseLoad * row.loadFactor : baseLoad;
        const auto next = policy.decide({.problem = problem,
                                         .current = current,
                                         .relativeError = row.error,
                                         .sinceLastCall = WindowLength,
                                         .storeBytesPerSecond = 50,
                                         .weights = row.weights});
        if (next) {
            current = *next;
            ++switchCount;
        }
    }
    EXPECT_EQ(switchCount > 0, row.expectsSwitch) << row.description;
    EXPECT_LE(switchCount, 6) << row.description;
}

INSTANTIATE_TEST_SUITE_P(Table, RebalanceDecisions, testing::ValuesIn(DecisionCases));

TEST(RegretRebalance, SwitchesAtOnceWhenARankHasLeft)
{
    SeededRandom random(4);
    auto problem = randomProblem(uniformShape(2, 16, 8, 3), random, 1);
    const auto map = initialMap(problem);
    problem.shape.slots[3] = 0;
    for (auto &layer : problem.layers) {
        layer.slots[3] = 0;
    }
    RegretRebalance policy;
    const auto next = policy.decide({.problem = problem,
                                     .current = map.layers(),
                                     .sinceLastCall = WindowLength,
                                     .storeBytesPerSecond = 1,
                                     .weights = {.skew = 0, .cost = 100}});
    ASSERT_TRUE(next);
    EXPECT_EQ(errorIn(ExpertMap::create(MapNumber{2}, problem.shape, *next)), nullptr);
}

} // namespace
