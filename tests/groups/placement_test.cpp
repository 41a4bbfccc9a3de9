#include "groups/groupproblems.h"

#include "heatherridge_state/groups/hierarchicalplacement.h"
#include "heatherridge_state/groups/stageplan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

using namespace Heatherridge;

namespace
{

struct MapRow
{
    const char *story;
    std::vector<LayerPlacement> layers;
    bool valid;
};

const MapRow MapRows[] = {
    {"two experts on two ranks", {{{0, 0, 4096}, {1, 1, 4096}}}, true},
    {"a replica with a split", {{{0, 0, 96}, {0, 1, 4000}, {1, 1, 4096}}}, true},
    {"an expert nowhere", {{{0, 0, 4096}}}, false},
    {"shares add up to less", {{{0, 0, 4095}, {1, 1, 4096}}}, false},
    {"more than fits", {{{0, 0, 4096}, {1, 0, 4096}, {2, 0, 4096}}}, false},
    {"an expert twice on a rank", {{{0, 0, 2048}, {0, 0, 2048}, {1, 1, 4096}}}, false},
    {"a rank out of range", {{{0, 2, 4096}, {1, 1, 4096}}}, false},
    {"an expert out of range", {{{0, 0, 4096}, {1, 1, 4096}, {7, 1, 0}}}, false},
    {"not in order", {{{1, 1, 4096}, {0, 0, 4096}}}, false},
    {"a layer missing", {}, false},
};

class MapFaults : public testing::TestWithParam<MapRow>
{
};

TEST_P(MapFaults, AreRefused)
{
    const auto made = ExpertMap::create(MapNumber{1}, evenShape(1, 2, 2, 2), GetParam().layers);
    EXPECT_EQ(errorIn(made) == nullptr, GetParam().valid) << GetParam().story;
}

INSTANTIATE_TEST_SUITE_P(Table, MapFaults, testing::ValuesIn(MapRows));

TEST(BytesToMove, ChangedSharesLoadNothingAndEachNewPlaceLoadsOneExpert)
{
    const auto shape = evenShape(1, 2, 2, 2);
    const std::vector<LayerPlacement> from{{{0, 0, 4096}, {1, 0, 96}, {1, 1, 4000}}};
    EXPECT_EQ(bytesToMove(shape, from, {{{0, 0, 4096}, {1, 0, 4000}, {1, 1, 96}}}), 0U);
    EXPECT_EQ(bytesToMove(shape, from, {{{0, 0, 2000}, {0, 1, 2096}, {1, 1, 4096}}}), 1000U);
}

GroupProblem drawnProblem()
{
    const int experts = *rc::gen::inRange(1, 20);
    const int ranks = *rc::gen::inRange(1, 9);
    auto shape = evenShape(2, experts, ranks, 0);
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

void checkAgainstBound(const GroupProblem &problem, const std::vector<LayerPlacement> &layers)
{
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const double slowest = balanceOf(problem.layers[layer], layers[layer]).slowest;
        // Shares are rounded to 1/4096 of an expert.
        RC_ASSERT(slowest >= slowestRankBound(problem.layers[layer]) * 0.999);
    }
}

RC_GTEST_PROP(Placement, IsAValidMapWheneverTheExpertsFitAndNeverBeatsTheBound, ())
{
    const auto problem = drawnProblem();
    const int slots = std::accumulate(problem.shape.slots.begin(), problem.shape.slots.end(), 0);
    const auto improved = improvePlacement(problem, {}, {});
    RC_ASSERT((errorIn(improved) == nullptr) == (slots >= problem.shape.experts));
    if (const auto *layers = std::get_if<std::vector<LayerPlacement>>(&improved)) {
        RC_ASSERT(errorIn(ExpertMap::create(MapNumber{1}, problem.shape, *layers)) == nullptr);
        checkAgainstBound(problem, *layers);
        const auto again = std::get<std::vector<LayerPlacement>>(improvePlacement(problem, *layers, {}));
        RC_ASSERT(excessTime(problem, again) <= excessTime(problem, *layers) + 0.01);
    }
}

RC_GTEST_PROP(Placement, BaselinesAreValidMapsToo, ())
{
    const auto problem = drawnProblem();
    for (const auto method :
         {BaselinePlacement::Greedy, BaselinePlacement::Replicated, BaselinePlacement::Hierarchical}) {
        if (const auto layers = baselinePlacement(method, problem)) {
            RC_ASSERT(errorIn(ExpertMap::create(MapNumber{1}, problem.shape, *layers)) == nullptr);
            checkAgainstBound(problem, *layers);
        }
    }
}

RC_GTEST_PROP(Placement, TakesAllExpertsOffARankThatLeft, ())
{
    SeededRandom random(*rc::gen::arbitrary<std::uint32_t>());
    auto problem = randomProblem(evenShape(2, 8, 5, 2), random, 2);
    const auto map = firstMap(problem);
    const int left = *rc::gen::inRange(0, 5);
    problem.shape.slots[left] = 0;
    for (auto &layer : problem.layers) {
        layer.slots[left] = 0;
    }
    const auto layers = std::get<std::vector<LayerPlacement>>(improvePlacement(problem, map.layers(), {}));
    RC_ASSERT(errorIn(ExpertMap::create(MapNumber{2}, problem.shape, layers)) == nullptr);
}

TEST(Placement, WithTwoSlotsARankAndAsManyRanksAsExpertsComesOutEven)
{
    SeededRandom random(7);
    const auto problem = randomProblem(evenShape(8, 64, 64, 2), random, 3);
    EXPECT_LT(stepSkew(problem, firstMap(problem).layers()), 1.005);
    const auto packed = baselinePlacement(BaselinePlacement::Replicated, problem);
    ASSERT_TRUE(packed);
    EXPECT_GT(stepSkew(problem, *packed), 1.05);
}

TEST(Placement, AmongNearEqualsKeepsWhatIsThere)
{
    SeededRandom random(7);
    auto problem = randomProblem(evenShape(4, 64, 64, 2), random, 2);
    const auto map = firstMap(problem);
    for (auto &layer : problem.layers) {
        for (auto &load : layer.load) {
            load *= 1 + 0.02 * (random.fraction() - 0.5);
        }
    }
    const auto layers =
        std::get<std::vector<LayerPlacement>>(improvePlacement(problem, map.layers(), {.pricePerExpert = 0.03}));
    EXPECT_EQ(bytesToMove(problem.shape, map.layers(), layers), 0U);
    EXPECT_LT(excessTime(problem, layers), excessTime(problem, map.layers()));
}

TEST(Placement, TakesWorkOffAStragglerWithoutReshufflingTheRest)
{
    SeededRandom random(3);
    auto problem = randomProblem(evenShape(2, 64, 32, 4), random, 1);
    const auto map = firstMap(problem);
    for (auto &layer : problem.layers) {
        layer.slowness[5] = 1.5;
    }
    const auto layers =
        std::get<std::vector<LayerPlacement>>(improvePlacement(problem, map.layers(), {.pricePerExpert = 0.01}));
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const auto &part = problem.layers[layer];
        EXPECT_LT(rankTimes(part, layers[layer])[5], 0.85 * rankTimes(part, map.layers()[layer])[5]);
    }
    EXPECT_LE(bytesToMove(problem.shape, map.layers(), layers) / problem.shape.expertBytes, 8U);
}

TEST(NextStage, TakesTheMostGainAByteWithinItsBudgetAndEndsAtTheWantedMap)
{
    SeededRandom random(11);
    auto problem = randomProblem(evenShape(6, 16, 8, 3), random, 2);
    auto current = firstMap(randomProblem(problem.shape, random, 2)).layers();
    const auto wanted = firstMap(problem).layers();
    const std::uint64_t budget = 24 * 1000;
    int stages = 0;
    while (current != wanted && ++stages < 10) {
        const auto stage = nextStage(problem, current, wanted, budget);
        EXPECT_LE(bytesToMove(problem.shape, current, stage), budget);
        EXPECT_LE(excessTime(problem, stage), excessTime(problem, current));
        current = stage;
    }
    EXPECT_EQ(current, wanted);
    EXPECT_GT(stages, 1);
}

} // namespace
