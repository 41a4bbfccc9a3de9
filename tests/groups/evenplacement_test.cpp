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

constexpr std::size_t RankCount = 8;
constexpr std::size_t ExpertCount = 64;
constexpr std::size_t SlotsPerRank = 11;

SetLayout roundRobinLayout()
{
    SetLayout layout(RankCount);
    for (std::uint16_t expert = 0; expert < ExpertCount; ++expert) {
        layout[expert % RankCount].push_back(expert);
    }
    return layout;
}

/** Returns a demand that is concentrated on a few experts. */
SetDemand skewedDemand(std::uint64_t seed)
{
    std::uint64_t state = seed * 2654435761U + 1;
    SetDemand demand(ExpertCount);
    for (auto &selections : demand) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        const double uniform = static_cast<double>(state >> 40U) / static_cast<double>(1U << 24U);
        selections = 0.1 + 6 * uniform * uniform * uniform * uniform;
    }
    return demand;
}

std::size_t maxNewExperts(const SetLayout &from, const SetLayout &to)
{
    return maxCopiesOnAnyRank({from}, {to});
}

RC_GTEST_PROP(EvenPlacement, LayoutIsValidAndRespectsCopyLimit, (std::uint32_t seed, std::uint8_t copies))
{
    const std::size_t maxCopiesPerRank = copies % 5;
    const auto from = roundRobinLayout();
    const auto to = improveSetLayout(from, skewedDemand(seed),
                                     {.slotsPerRank = SlotsPerRank, .maxCopiesPerRank = maxCopiesPerRank});
    RC_ASSERT(isValidLayout(to, ExpertCount, SlotsPerRank));
    RC_ASSERT(maxNewExperts(from, to) <= maxCopiesPerRank);
    RC_ASSERT(layoutSkew({to}, {skewedDemand(seed)}, {}) <= layoutSkew({from}, {skewedDemand(seed)}, {}) + 1e-9);
}

// Every pass of a group waits for its slowest rank. With the initial layout that rank has two to three times the mean
// load, and half of the streams on a busy day are late.
TEST(EvenPlacement, BalancesSkewedDemandWithTwoCopiesPerRank)
{
    double before = 0;
    double after = 0;
    constexpr int demandCount = 50;
    for (std::uint64_t seed = 1; seed <= demandCount; ++seed) {
        const auto demand = skewedDemand(seed);
        const auto to =
            improveSetLayout(roundRobinLayout(), demand, {.slotsPerRank = SlotsPerRank, .maxCopiesPerRank = 2});
        before += layoutSkew({roundRobinLayout()}, {demand}, {}) / demandCount;
        after += layoutSkew({to}, {demand}, {}) / demandCount;
    }
    EXPECT_GT(before, 1.5);
    EXPECT_LT(after, 1.12);
}

std::size_t countNewExperts(const SetLayout &from, const SetLayout &to)
{
    std::size_t copies = 0;
    for (std::size_t rank = 0; rank < RankCount; ++rank) {
        for (const auto expert : to[rank]) {
            copies += std::find(from[rank].begin(), from[rank].end(), expert) == from[rank].end() ? 1 : 0;
        }
    }
    return copies;
}

// Demand jumps every four seconds on a quiet day. Balancing the maps fully each time, although the passes are short
// anyway, costs more in copies than it gains in streams that are on time.
TEST(EvenPlacement, LooseBalanceNeedsFewerCopies)
{
    double skew = 0;
    std::size_t looseCopies = 0;
    std::size_t tightCopies = 0;
    constexpr int demandCount = 50;
    for (std::uint64_t seed = 1; seed <= demandCount; ++seed) {
        const auto demand = skewedDemand(seed);
        const auto looseLayout = improveSetLayout(roundRobinLayout(), demand,
                                                  {.slotsPerRank = SlotsPerRank,
                                                   .maxCopiesPerRank = 2,
                                                   .skewThreshold = LooseBalance.skewThreshold,
                                                   .minGain = LooseBalance.minGain});
        const auto tightLayout =
            improveSetLayout(roundRobinLayout(), demand, {.slotsPerRank = SlotsPerRank, .maxCopiesPerRank = 2});
        skew += layoutSkew({looseLayout}, {demand}, {}) / demandCount;
        looseCopies += countNewExperts(roundRobinLayout(), looseLayout);
        tightCopies += countNewExperts(roundRobinLayout(), tightLayout);
    }
    EXPECT_LT(skew, 1.33);
    EXPECT_LT(looseCopies * 100, tightCopies * 55);
}

// A rank that takes four times as long delays its whole group unless almost all its work is moved away.
TEST(EvenPlacement, MovesWorkOffSlowRank)
{
    RankSlowness slowness(RankCount, 1.0);
    slowness[3] = 4;
    const auto demand = skewedDemand(7);
    const auto to = improveSetLayout(roundRobinLayout(), demand,
                                     {.slotsPerRank = SlotsPerRank, .maxCopiesPerRank = 4, .slowness = slowness});
    const auto unaware =
        improveSetLayout(roundRobinLayout(), demand, {.slotsPerRank = SlotsPerRank, .maxCopiesPerRank = 4});
    EXPECT_LT(layoutSkew({to}, {demand}, slowness), 0.6 * layoutSkew({unaware}, {demand}, slowness));
}

constexpr std::size_t SetCount = 6;

std::vector<SetDemand> skewedDemands(std::uint64_t seed)
{
    std::vector<SetDemand> demand;
    for (std::uint64_t set = 0; set < SetCount; ++set) {
        demand.push_back(skewedDemand(seed * SetCount + set));
    }
    return demand;
}

RC_GTEST_PROP(LayoutStages, EachStageIsValidAndNoWorseThanThePrevious, (std::uint32_t seed, std::uint8_t maxCopies))
{
    const ExpertLayout from(SetCount, roundRobinLayout());
    const auto demand = skewedDemands(seed);
    const auto stages =
        improveLayoutInStages(from, demand, {.slotsPerRank = SlotsPerRank, .maxCopiesPerRank = 2}, maxCopies % 13);
    RC_ASSERT(!stages.empty());
    double skew = layoutSkew(from, demand, {});
    std::size_t copies = 0;
    for (const auto &stage : stages) {
        for (const auto &set : stage.layout) {
            RC_ASSERT(isValidLayout(set, ExpertCount, SlotsPerRank));
        }
        RC_ASSERT(stage.copies == maxCopiesOnAnyRank(from, stage.layout));
        RC_ASSERT(stage.copies <= maxCopies % 13U);
        RC_ASSERT(&stage == &stages.front() || stage.copies == copies + 1);
        RC_ASSERT(std::abs(stage.skew - layoutSkew(stage.layout, demand, {})) < 1e-9);
        RC_ASSERT(stage.skew
                  <= skew + 0.05); // the sum of squares decreases, and with it the skew except for small deviations
        skew = stage.skew;
        copies = stage.copies;
    }
}

// Experts are large, and a rank takes 0.15 s to copy one. When demand jumps and all copies are made in a single switch,
// ranks that get an expert of each set delay all streams for a second, with pauses of twice the promised maximum. Two
// copies per rank give more than half of the gain, since ranks copy in parallel.
TEST(LayoutStages, TwoCopiesPerRankGiveMostOfTheGain)
{
    constexpr int demandCount = 30;
    double before = 0;
    double withTwo = 0;
    double last = 0;
    double copies = 0;
    for (std::uint64_t seed = 1; seed <= demandCount; ++seed) {
        const ExpertLayout from(SetCount, roundRobinLayout());
        const auto demand = skewedDemands(seed);
        const auto stages =
            improveLayoutInStages(from, demand, {.slotsPerRank = SlotsPerRank, .maxCopiesPerRank = 2}, 12);
        ASSERT_GT(stages.size(), 3U);
        before += layoutSkew(from, demand, {}) - 1;
        withTwo += stages[2].skew - 1;
        last += stages.back().skew - 1;
        copies += static_cast<double>(stages.back().copies) / demandCount;
    }
    EXPECT_LT(withTwo - last, (before - last) / 2);
    EXPECT_GT(copies, 5);
}

struct StageRow
{
    const char *description;
    std::vector<double> skews; ///< skews of the stages with 0, 1, 2 copies and so on
    double skew;
    std::chrono::milliseconds timePerCopy;
    std::size_t expectedStage;
};

const StageRow StageRows[] = {
    {"large experts: the gain of a single copy first",
     {2.5, 1.6, 1.3, 1.2, 1.1},
     2.5,
     std::chrono::milliseconds(300),
     1},
    {"small experts: nearly all copies at once", {2.5, 1.9, 1.5, 1.2, 1.1}, 2.5, std::chrono::milliseconds(10), 4},
    {"drops alone, without copies", {1.3, 1.2}, 2.5, std::chrono::milliseconds(150), 0},
    {"no gain possible", {1.1}, 1.1, std::chrono::milliseconds(150), 0},
};

class StageSelection : public testing::TestWithParam<StageRow>
{
};

TEST_P(StageSelection, PicksTheFastestSkewReduction)
{
    const auto &row = GetParam();
    std::vector<LayoutStage> stages;
    for (std::size_t copies = 0; copies < row.skews.size(); ++copies) {
        stages.push_back({.copies = copies, .skew = row.skews[copies]});
    }
    EXPECT_EQ(fastestGainStage(stages, row.skew, row.timePerCopy, std::chrono::milliseconds(150)), row.expectedStage)
        << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, StageSelection, testing::ValuesIn(StageRows));

TEST(EvenPlacement, KeepsBalancedLayout)
{
    const SetDemand even(ExpertCount, 1.0);
    EXPECT_EQ(improveSetLayout(roundRobinLayout(), even, {.slotsPerRank = SlotsPerRank, .maxCopiesPerRank = 4}),
              roundRobinLayout());
}

TEST(LayoutWithFixedRank, KeepsTheRankAndPlacesAllOtherExperts)
{
    const auto own = roundRobinLayout()[2];
    const auto layout = layoutWithFixedRank(2, own, static_cast<int>(RankCount), ExpertCount);
    EXPECT_EQ(layout[2], own);
    EXPECT_TRUE(isValidLayout(layout, ExpertCount, SlotsPerRank));
}

std::vector<double> countsFor(const SetDemand &demand, double scale)
{
    std::vector<double> window(demand);
    for (auto &selections : window) {
        selections = std::round(selections * scale);
    }
    return window;
}

// Popularity jumps every few seconds. An average across a jump yields a layout for outdated demand.
TEST(ExpertDemand, DropsHistoryAfterJump)
{
    ExpertDemand demand(1, ExpertCount);
    for (int i = 0; i < 10; ++i) {
        demand.addWindow(countsFor(skewedDemand(1), 1000));
    }
    demand.addWindow(countsFor(skewedDemand(2), 1000));
    EXPECT_TRUE(demand.jumped());
    const auto now = skewedDemand(2);
    const double sum = std::accumulate(now.begin(), now.end(), 0.0);
    for (std::size_t expert = 0; expert < ExpertCount; ++expert) {
        EXPECT_NEAR(demand.bySet()[0][expert], now[expert] / sum, 1e-3);
    }
}

TEST(ExpertDemand, AveragesNoiseAndIgnoresEmptyWindows)
{
    ExpertDemand demand(1, 4);
    demand.addWindow({10, 10, 10, 10});
    demand.addWindow({12, 8, 10, 10});
    EXPECT_FALSE(demand.jumped());
    EXPECT_NEAR(demand.bySet()[0][0], 0.25 + ExpertDemand::SmoothingFactor * 0.05, 1e-9);
    demand.addWindow({0, 0, 0, 0});
    demand.addWindow({1, 2});
    EXPECT_NEAR(demand.bySet()[0][0], 0.25 + ExpertDemand::SmoothingFactor * 0.05, 1e-9);
}

} // namespace
