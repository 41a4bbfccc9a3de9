#include "groups/groupproblems.h"

#include "heatherridge_state/groups/hierarchicalplacement.h"
#include "heatherridge_state/groups/stageplan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

using namespace Heatherridge;

namespace
{

struct MapCase
{
    const char *description;
    std::vector<LayerPlacement> layers;
    bool valid;
};

const MapCase MapCases[] = {
    {"two experts on two ranks", {{{0, 0, 4096}, {1, 1, 4096}}}, true},
    {"an expert split over two replicas", {{{0, 0, 96}, {0, 1, 4000}, {1, 1, 4096}}}, true},
    {"an expert without a replica", {{{0, 0, 4096}}}, false},
    {"shares add up to less than the whole", {{{0, 0, 4095}, {1, 1, 4096}}}, false},
    {"more experts than slots on a rank", {{{0, 0, 4096}, {1, 0, 4096}, {2, 0, 4096}}}, false},
    {"an expert twice on a rank", {{{0, 0, 2048}, {0, 0, 2048}, {1, 1, 4096}}}, false},
    {"a rank out of range", {{{0, 2, 4096}, {1, 1, 4096}}}, false},
    {"an expert out of range", {{{0, 0, 4096}, {1, 1, 4096}, {7, 1, 0}}}, false},
    {"not in order", {{{1, 1, 4096}, {0, 0, 4096}}}, false},
    {"a missing layer", {}, false},
};

class ExpertMapValidation : public testing::TestWithParam<MapCase>
{
};

TEST_P(ExpertMapValidation, AcceptsOnlyExecutableMaps)
{
    const auto result = ExpertMap::create(MapNumber{1}, uniformShape(1, 2, 2, 2), GetParam().layers);
    EXPECT_EQ(errorIn(result) == nullptr, GetParam().valid) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(Table, ExpertMapValidation, testing::ValuesIn(MapCases));

TEST(BytesToMove, ShareChangesLoadNothingAndEachNewReplicaLoadsOneExpert)
{
    const auto shape = uniformShape(1, 2, 2, 2);
    const std::vector<LayerPlacement> from{{{0, 0, 4096}, {1, 0, 96}, {1, 1, 4000}}};
    EXPECT_EQ(bytesToMove(shape, from, {{{0, 0, 4096}, {1, 0, 4000}, {1, 1, 96}}}), 0U);
    EXPECT_EQ(bytesToMove(shape, from, {{{0, 0, 2000}, {0, 1, 2096}, {1, 1, 4096}}}), 1000U);
}

GroupProblem generateProblem()
{
    const int experts = *rc::gen::inRange(1, 20);
    const int ranks = *rc::gen::inRange(1, 9);
    auto shape = uniformShape(2, experts, ranks, 0);
    for (auto &slots : shape.slots) {
        slots = *rc::gen::inRange(0, 5);
    }
    SeededRandom random(*rc::gen::arbitrary<std::uint32_t>());
    auto problem = randomProblem(shape, random, *rc::gen::inRange(0, 4));
    if (*rc::gen::arbitrary<bool>()) {
        for (auto &layer : problem.layers) {
            layer.slowness[0] = 1.5;
        }
    }
    return problem;
}

void checkLowerBound(const GroupProblem &problem, const std::vector<LayerPlacement> &layers)
{
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const double slowest = balanceOf(problem.layers[layer], layers[layer]).slowest;
        // Shares are rounded to 1/4096 of an expert.
        RC_ASSERT(slowest >= slowestTimeLowerBound(problem.layers[layer]) * 0.999);
    }
}

RC_GTEST_PROP(Placement, IsValidWheneverExpertsFitAndRespectsLowerBound, ())
{
    const auto problem = generateProblem();
    const int slots = std::accumulate(problem.shape.slots.begin(), problem.shape.slots.end(), 0);
    const auto improved = improvePlacement(problem, {}, {});
    RC_ASSERT((errorIn(improved) == nullptr) == (slots >= problem.shape.experts));
    if (const auto *layers = std::get_if<std::vector<LayerPlacement>>(&improved)) {
        RC_ASSERT(errorIn(ExpertMap::create(MapNumber{1}, problem.shape, *layers)) == nullptr);
        checkLowerBound(problem, *layers);
        const auto improvedAgain = std::get<std::vector<LayerPlacement>>(improvePlacement(problem, *layers, {}));
        RC_ASSERT(excessTimeRatio(problem, improvedAgain) <= excessTimeRatio(problem, *layers) + 0.01);
    }
}

RC_GTEST_PROP(Placement, BaselinesAreValidMaps, ())
{
    const auto problem = generateProblem();
    for (const auto method :
         {BaselinePlacement::Greedy, BaselinePlacement::Replicated, BaselinePlacement::Hierarchical}) {
        if (const auto layers = baselinePlacement(method, problem)) {
            RC_ASSERT(errorIn(ExpertMap::create(MapNumber{1}, problem.shape, *layers)) == nullptr);
            checkLowerBound(problem, *layers);
        }
    }
}

RC_GTEST_PROP(Placement, MovesAllExpertsOffRankThatLeft, ())
{
    SeededRandom random(*rc::gen::arbitrary<std::uint32_t>());
    auto problem = randomProblem(uniformShape(2, 8, 5, 2), random, 2);
    const auto map = initialMap(problem);
    const int removedRank = *rc::gen::inRange(0, 5);
    problem.shape.slots[removedRank] = 0;
    for (auto &layer : problem.layers) {
        layer.slots[removedRank] = 0;
    }
    const auto layers = std::get<std::vector<LayerPlacement>>(improvePlacement(problem, map.layers(), {}));
    RC_ASSERT(errorIn(ExpertMap::create(MapNumber{2}, problem.shape, layers)) == nullptr);
}

TEST(Placement, BalancesWithTwoSlotsPerRankAndOneRankPerExpert)
{
    SeededRandom random(7);
    const auto problem = randomProblem(uniformShape(8, 64, 64, 2), random, 3);
    EXPECT_LT(stepSkew(problem, initialMap(problem).layers()), 1.005);
    const auto packed = baselinePlacement(BaselinePlacement::Replicated, problem);
    ASSERT_TRUE(packed);
    EXPECT_GT(stepSkew(problem, *packed), 1.05);
}

TEST(Placement, AmongNearEqualsKeepsWhatIsThere)
{
    SeededRandom random(7);
    auto problem = randomProblem(uniformShape(4, 64, 64, 2), random, 2);
    const auto map = initialMap(problem);
    for (auto &layer : problem.layers) {
        for (auto &load : layer.load) {
            load *= 1 + 0.02 * (random.fraction() - 0.5);
        }
    }
    const auto layers =
        std::get<std::vector<LayerPlacement>>(improvePlacement(problem, map.layers(), {.penaltyPerExpert = 0.03}));
    EXPECT_EQ(bytesToMove(problem.shape, map.layers(), layers), 0U);
    EXPECT_LT(excessTimeRatio(problem, layers), excessTimeRatio(problem, map.layers()));
}

TEST(Placement, MovesWorkOffStragglerWithFewLoads)
{
    SeededRandom random(3);
    auto problem = randomProblem(uniformShape(2, 64, 32, 4), random, 1);
    const auto map = initialMap(problem);
    for (auto &layer : problem.layers) {
        layer.slowness[5] = 1.5;
    }
    const auto layers =
        std::get<std::vector<LayerPlacement>>(improvePlacement(problem, map.layers(), {.penaltyPerExpert = 0.01}));
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const auto &layerProblem = problem.layers[layer];
        EXPECT_LT(rankTimes(layerProblem, layers[layer])[5], 0.85 * rankTimes(layerProblem, map.layers()[layer])[5]);
    }
    EXPECT_LE(bytesToMove(problem.shape, map.layers(), layers) / problem.shape.expertBytes, 8U);
}

TEST(NextStage, StaysWithinByteBudgetAndReachesDesiredMap)
{
    SeededRandom random(11);
    auto problem = randomProblem(uniformShape(6, 16, 8, 3), random, 2);
    auto current = initialMap(randomProblem(problem.shape, random, 2)).layers();
    const auto desired = initialMap(problem).layers();
    const std::uint64_t byteBudget = 24 * 1000;
    int stages = 0;
    while (current != desired && ++stages < 10) {
        const auto stage = nextStage(problem, current, desired, byteBudget);
        EXPECT_LE(bytesToMove(problem.shape, current, stage), byteBudget);
        EXPECT_LE(excessTimeRatio(problem, stage), excessTimeRatio(problem, current));
        current = stage;
    }
    EXPECT_EQ(current, desired);
    EXPECT_GT(stages, 1);
}

} // namespace
