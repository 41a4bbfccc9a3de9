#include "groups/groupproblems.h"

#include "heatherridge_state/groups/stragglerdetector.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

constexpr int Windows = 120;
constexpr double TokensPerLayer = 200'000;
constexpr std::chrono::duration<double> WindowLength{10};

struct EstimateRow
{
    const char *story;
    double jumpFactor; ///< what expert 0's load is multiplied by after half of the windows
    int missingEvery; ///< every so many reports is lost; 0 for none
    double mostError; ///< of expert 0's part at the end, relative
    bool jumps;
};

const EstimateRow EstimateRows[] = {
    {"noise only", 1, 0, 0.03, false},
    {"noise only, every third report missing", 1, 3, 0.05, false},
    {"expert gets hot at once", 6, 0, 0.05, true},
    {"expert gets hot at once, every third report missing", 6, 3, 0.07, true},
};

class Estimates : public testing::TestWithParam<EstimateRow>
{
};

TEST_P(Estimates, FollowTheLoadAndNotTheNoise)
{
    const auto &row = GetParam();
    SeededRandom random(5);
    auto problem = randomProblem(evenShape(2, 16, 8, 3), random, 1);
    const auto map = firstMap(problem);
    PopularityEstimator estimator(problem.shape);
    int count = 0;
    for (int window = 1; window <= Windows; ++window) {
        if (window == Windows / 2) {
            problem.layers[0].load[0] *= row.jumpFactor;
        }
        for (const auto &report : reportsFor(problem, map, window, TokensPerLayer, random)) {
            if (row.missingEvery == 0 || ++count % row.missingEvery != 0) {
                estimator.add(report, map);
            }
        }
        estimator.closeWindows(window);
    }
    double total = 0;
    for (const double load : problem.layers[0].load) {
        total += load;
    }
    const double truth = problem.layers[0].load[0] / total;
    EXPECT_NEAR(estimator.parts(0)[0] / truth, 1, row.mostError) << row.story;
    EXPECT_EQ(estimator.jumps() > 0, row.jumps) << row.story << ": " << estimator.jumps();
}

INSTANTIATE_TEST_SUITE_P(Table, Estimates, testing::ValuesIn(EstimateRows));

TEST(PopularityEstimator, DropsDoubledLateAndForeignReports)
{
    SeededRandom random(5);
    const auto problem = randomProblem(evenShape(1, 4, 2, 2), random, 1);
    const auto map = firstMap(problem);
    PopularityEstimator estimator(problem.shape);
    auto report = reportsFor(problem, map, 1, TokensPerLayer, random)[0];
    estimator.add(report, map);
    estimator.add(report, map);
    EXPECT_EQ(estimator.droppedReports(), 1U);
    estimator.closeWindows(2 + PopularityEstimator::OpenWindows);
    report.rank = 1;
    estimator.add(report, map);
    EXPECT_EQ(estimator.droppedReports(), 2U);
    report.window = 9;
    report.map = MapNumber{99};
    estimator.add(report, map);
    EXPECT_EQ(estimator.droppedReports(), 3U);
}

struct SlowRow
{
    const char *story;
    double slowness; ///< of rank 2
    double heat; ///< factor on expert 0's load
    int slowWindows; ///< how long it lasts
    bool straggler;
};

const SlowRow SlowRows[] = {
    {"healthy", 1, 1, 30, false},       {"hot expert", 1, 5, 30, false},
    {"slow rank", 1.4, 1, 30, true},    {"slow rank with a hot expert elsewhere", 1.4, 5, 30, true},
    {"one long pause", 2, 1, 1, false},
};

class Stragglers : public testing::TestWithParam<SlowRow>
{
};

TEST_P(Stragglers, AreToldFromHotExperts)
{
    const auto &row = GetParam();
    SeededRandom random(9);
    auto problem = randomProblem(evenShape(2, 16, 8, 2), random, 0);
    const auto map = firstMap(problem);
    StragglerDetector detector(8);
    for (int window = 1; window <= 30; ++window) {
        for (auto &layer : problem.layers) {
            layer.load[0] = row.heat;
            layer.slowness[2] = window <= row.slowWindows ? row.slowness : 1;
        }
        detector.addWindow(reportsFor(problem, map, window, TokensPerLayer, random));
    }
    for (int rank = 0; rank < 8; ++rank) {
        EXPECT_EQ(detector.isStraggler(rank), row.straggler && rank == 2) << row.story << ", rank " << rank;
    }
    if (row.straggler) {
        EXPECT_NEAR(detector.slowness(2), row.slowness, 0.1);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, Stragglers, testing::ValuesIn(SlowRows));

struct DecideRow
{
    const char *story;
    BalanceWeights weights;
    double heat; ///< factor on expert 0 while it is hot
    int hotWindows; ///< how many windows it stays so, out of 60
    double error; ///< relative error that the estimate claims
    bool switches;
};

/** Loading one expert takes 20 s of the store here, so a change must last to be worth it. */
const DecideRow DecideRows[] = {
    {"nothing changes", {1, 1}, 1, 60, 0, false},
    {"lasting change, even weights", {1, 1}, 4, 60, 0, true},
    {"lasting change, cost heavy", {1, 8}, 4, 60, 0, true},
    {"short swing, skew heavy", {8, 1}, 4, 3, 0, true},
    {"short swing there and back, cost heavy", {1, 8}, 4, 3, 0, false},
    {"change within the noise", {1, 1}, 1.15, 60, 0.1, false},
};

class Decisions : public testing::TestWithParam<DecideRow>
{
};

TEST_P(Decisions, FollowGainAgainstCost)
{
    const auto &row = GetParam();
    SeededRandom random(4);
    auto problem = randomProblem(evenShape(2, 16, 8, 3), random, 1);
    auto current = firstMap(problem).layers();
    RegretRebalance policy;
    int switches = 0;
    const double calm = problem.layers[0].load[0];
    for (int window = 1; window <= 60; ++window) {
        problem.layers[0].load[0] = window <= row.hotWindows ? calm * row.heat : calm;
        const auto next = policy.decide({.problem = problem,
                                         .current = current,
                                         .relativeError = row.error,
                                         .sinceLast = WindowLength,
                                         .storeBytesPerSecond = 50,
                                         .weights = row.weights});
        if (next) {
            current = *next;
            ++switches;
        }
    }
    EXPECT_EQ(switches > 0, row.switches) << row.story;
    EXPECT_LE(switches, 6) << row.story;
}

INSTANTIATE_TEST_SUITE_P(Table, Decisions, testing::ValuesIn(DecideRows));

TEST(RegretRebalance, RepairsAtOnceWhenARankHasLeft)
{
    SeededRandom random(4);
    auto problem = randomProblem(evenShape(2, 16, 8, 3), random, 1);
    const auto map = firstMap(problem);
    problem.shape.slots[3] = 0;
    for (auto &layer : problem.layers) {
        layer.slots[3] = 0;
    }
    RegretRebalance policy;
    const auto next = policy.decide({.problem = problem,
                                     .current = map.layers(),
                                     .sinceLast = WindowLength,
                                     .storeBytesPerSecond = 1,
                                     .weights = {.skew = 0, .cost = 100}});
    ASSERT_TRUE(next);
    EXPECT_EQ(errorIn(ExpertMap::create(MapNumber{2}, problem.shape, *next)), nullptr);
}

} // namespace
