#include "heatherridge_state/groups/evenplacement.h"
#include "heatherridge_state/groups/expertdemand.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace Heatherridge;

namespace
{

constexpr std::size_t Ranks = 8;
constexpr std::size_t Experts = 64;
constexpr std::size_t Places = 11;

SetLayout inTurn()
{
    SetLayout layout(Ranks);
    for (std::uint16_t expert = 0; expert < Experts; ++expert) {
        layout[expert % Ranks].push_back(expert);
    }
    return layout;
}

/** A demand in which a few experts have most of it. */
SetDemand skewed(std::uint64_t seed)
{
    std::uint64_t state = seed * 2654435761U + 1;
    SetDemand demand(Experts);
    for (auto &part : demand) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        const double drawn = static_cast<double>(state >> 40U) / static_cast<double>(1U << 24U);
        part = 0.1 + 6 * drawn * drawn * drawn * drawn;
    }
    return demand;
}

std::size_t mostNew(const SetLayout &from, const SetLayout &to)
{
    return mostCopies({from}, {to});
}

RC_GTEST_PROP(EvenPlacement, IsCompleteAndWithinItsBounds, (std::uint32_t seed, std::uint8_t copies))
{
    const std::size_t newPerRank = copies % 5;
    const auto from = inTurn();
    const auto to = improveEvenly(from, skewed(seed), {.places = Places, .newPerRank = newPerRank});
    RC_ASSERT(isComplete(to, Experts, Places));
    RC_ASSERT(mostNew(from, to) <= newPerRank);
    RC_ASSERT(layoutSkew({to}, {skewed(seed)}, {}) <= layoutSkew({from}, {skewed(seed)}, {}) + 1e-9);
}

// Every pass of a group waits for its most loaded rank: with the first layout that one has two to three times the mean,
// and half of the streams of a busy day come late.
TEST(EvenPlacement, BringsASkewedDemandNearTheMeanWithTwoCopiesARank)
{
    double before = 0;
    double after = 0;
    constexpr int demands = 50;
    for (std::uint64_t seed = 1; seed <= demands; ++seed) {
        const auto demand = skewed(seed);
        const auto to = improveEvenly(inTurn(), demand, {.places = Places, .newPerRank = 2});
        before += layoutSkew({inTurn()}, {demand}, {}) / demands;
        after += layoutSkew({to}, {demand}, {}) / demands;
    }
    EXPECT_GT(before, 1.5);
    EXPECT_LT(after, 1.12);
}

std::size_t allNew(const SetLayout &from, const SetLayout &to)
{
    std::size_t copies = 0;
    for (std::size_t rank = 0; rank < Ranks; ++rank) {
        for (const auto expert : to[rank]) {
            copies += std::find(from[rank].begin(), from[rank].end(), expert) == from[rank].end() ? 1 : 0;
        }
    }
    return copies;
}

// Demand jumps every four seconds on a quiet day. Each time the maps were made as even as can be, for passes that were
// short anyway: the copies cost more than all streams that they brought back on time.
TEST(EvenPlacement, SavesCopiesWhileAThirdMoreThanTheMeanIsGoodEnough)
{
    double skew = 0;
    std::size_t rough = 0;
    std::size_t thorough = 0;
    constexpr int demands = 50;
    for (std::uint64_t seed = 1; seed <= demands; ++seed) {
        const auto demand = skewed(seed);
        const auto toRough = improveEvenly(inTurn(), demand,
                                           {.places = Places,
                                            .newPerRank = 2,
                                            .goodSkew = RoughEvenness.goodSkew,
                                            .leastGain = RoughEvenness.leastGain});
        const auto toThorough = improveEvenly(inTurn(), demand, {.places = Places, .newPerRank = 2});
        skew += layoutSkew({toRough}, {demand}, {}) / demands;
        rough += allNew(inTurn(), toRough);
        thorough += allNew(inTurn(), toThorough);
    }
    EXPECT_LT(skew, 1.33);
    EXPECT_LT(rough * 100, thorough * 55);
}

// A rank that takes four times as long holds up its whole group, unless it is left with hardly any work.
TEST(EvenPlacement, TakesWorkOffASlowRank)
{
    RankSlowness slowness(Ranks, 1.0);
    slowness[3] = 4;
    const auto demand = skewed(7);
    const auto to = improveEvenly(inTurn(), demand, {.places = Places, .newPerRank = 4, .slowness = slowness});
    const auto unaware = improveEvenly(inTurn(), demand, {.places = Places, .newPerRank = 4});
    EXPECT_LT(layoutSkew({to}, {demand}, slowness), 0.6 * layoutSkew({unaware}, {demand}, slowness));
}

constexpr std::size_t Sets = 6;

std::vector<SetDemand> skewedSets(std::uint64_t seed)
{
    std::vector<SetDemand> demand;
    for (std::uint64_t set = 0; set < Sets; ++set) {
        demand.push_back(skewed(seed * Sets + set));
    }
    return demand;
}

RC_GTEST_PROP(LayoutStages, AreCompleteEachBetterThanTheOneBefore, (std::uint32_t seed, std::uint8_t most))
{
    const ExpertLayout from(Sets, inTurn());
    const auto demand = skewedSets(seed);
    const auto stages = improveInStages(from, demand, {.places = Places, .newPerRank = 2}, most % 13);
    RC_ASSERT(!stages.empty());
    double skew = layoutSkew(from, demand, {});
    std::size_t copies = 0;
    for (const auto &stage : stages) {
        for (const auto &set : stage.layout) {
            RC_ASSERT(isComplete(set, Experts, Places));
        }
        RC_ASSERT(stage.copies == mostCopies(from, stage.layout));
        RC_ASSERT(stage.copies <= most % 13U);
        RC_ASSERT(&stage == &stages.front() || stage.copies == copies + 1);
        RC_ASSERT(std::abs(stage.skew - layoutSkew(stage.layout, demand, {})) < 1e-9);
        RC_ASSERT(stage.skew <= skew + 0.05); // squares are lowered, and the skew with them but for little
        skew = stage.skew;
        copies = stage.copies;
    }
}

// Experts are large, and a rank takes 0.15 s to copy one. Demand jumps; with the whole way in one switch, ranks that
// get an expert of each set keep all streams waiting for a second, with pauses of twice what was promised. Two copies a
// rank bring more than half of it, since ranks copy side by side.
TEST(LayoutStages, BringMostOfTheGainWithTwoCopiesARank)
{
    constexpr int demands = 30;
    double before = 0;
    double withTwo = 0;
    double last = 0;
    double copies = 0;
    for (std::uint64_t seed = 1; seed <= demands; ++seed) {
        const ExpertLayout from(Sets, inTurn());
        const auto demand = skewedSets(seed);
        const auto stages = improveInStages(from, demand, {.places = Places, .newPerRank = 2}, 12);
        ASSERT_GT(stages.size(), 3U);
        before += layoutSkew(from, demand, {}) - 1;
        withTwo += stages[2].skew - 1;
        last += stages.back().skew - 1;
        copies += static_cast<double>(stages.back().copies) / demands;
    }
    EXPECT_LT(withTwo - last, (before - last) / 2);
    EXPECT_GT(copies, 5);
}

struct GainRow
{
    const char *story;
    std::vector<double> skews; ///< of stages with 0, 1, 2 copies and so on
    double skew;
    std::chrono::milliseconds perCopy;
    std::size_t chosen;
};

const GainRow GainRows[] = {
    {"large experts: what a single copy gains first",
     {2.5, 1.6, 1.3, 1.2, 1.1},
     2.5,
     std::chrono::milliseconds(300),
     1},
    {"small experts: nearly the whole way at once", {2.5, 1.9, 1.5, 1.2, 1.1}, 2.5, std::chrono::milliseconds(10), 4},
    {"what drops alone bring, for nothing", {1.3, 1.2}, 2.5, std::chrono::milliseconds(150), 0},
    {"nothing to gain", {1.1}, 1.1, std::chrono::milliseconds(150), 0},
};

class Gains : public testing::TestWithParam<GainRow>
{
};

TEST_P(Gains, AreWeighedByTheTimeUntilTheyShow)
{
    const auto &row = GetParam();
    std::vector<LayoutStage> stages;
    for (std::size_t copies = 0; copies < row.skews.size(); ++copies) {
        stages.push_back({.copies = copies, .skew = row.skews[copies]});
    }
    EXPECT_EQ(quickestGain(stages, row.skew, row.perCopy, std::chrono::milliseconds(150)), row.chosen) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, Gains, testing::ValuesIn(GainRows));

TEST(EvenPlacement, LeavesAnEvenLayoutAlone)
{
    const SetDemand even(Experts, 1.0);
    EXPECT_EQ(improveEvenly(inTurn(), even, {.places = Places, .newPerRank = 4}), inTurn());
}

TEST(LayoutAround, HoldsTheRanksOwnExpertsAndAllOthersElsewhere)
{
    const auto own = inTurn()[2];
    const auto layout = layoutAround(2, own, static_cast<int>(Ranks), Experts);
    EXPECT_EQ(layout[2], own);
    EXPECT_TRUE(isComplete(layout, Experts, Places));
}

std::vector<double> windowOf(const SetDemand &demand, double scale)
{
    std::vector<double> window(demand);
    for (auto &part : window) {
        part = std::round(part * scale);
    }
    return window;
}

// What is liked jumps every few seconds. An average over both sides of a jump gives a layout for a demand that is gone.
TEST(ExpertDemand, ForgetsWhatWasBeforeAJump)
{
    ExpertDemand demand(1, Experts);
    for (int i = 0; i < 10; ++i) {
        demand.add(windowOf(skewed(1), 1000));
    }
    demand.add(windowOf(skewed(2), 1000));
    EXPECT_TRUE(demand.jumped());
    const auto now = skewed(2);
    const double sum = std::accumulate(now.begin(), now.end(), 0.0);
    for (std::size_t expert = 0; expert < Experts; ++expert) {
        EXPECT_NEAR(demand.bySet()[0][expert], now[expert] / sum, 1e-3);
    }
}

TEST(ExpertDemand, AveragesNoiseAndIgnoresEmptyWindows)
{
    ExpertDemand demand(1, 4);
    demand.add({10, 10, 10, 10});
    demand.add({12, 8, 10, 10});
    EXPECT_FALSE(demand.jumped());
    EXPECT_NEAR(demand.bySet()[0][0], 0.25 + ExpertDemand::Gain * 0.05, 1e-9);
    demand.add({0, 0, 0, 0});
    demand.add({1, 2});
    EXPECT_NEAR(demand.bySet()[0][0], 0.25 + ExpertDemand::Gain * 0.05, 1e-9);
}

} // namespace
