#include "heatherridge_state/decisions/bufferbudget.h"

#include <gtest/gtest.h>

#include <vector>

using namespace Heatherridge;

namespace
{

struct HolderRow
{
    const char *name;
    std::vector<std::size_t> held; ///< bytes of each connection
    std::size_t limit;
    bool isExceeded;
    std::optional<std::size_t> largest;
};

const HolderRow HolderRows[] = {
    {"NoConnections", {}, 10, false, std::nullopt},  {"AtTheLimit", {4, 6}, 10, false, 1},
    {"BeyondTheLimit", {4, 6, 1}, 10, true, 1},      {"NothingHeld", {0, 0}, 10, false, std::nullopt},
    {"ManySmallHolders", {3, 3, 3, 3}, 10, true, 0},
};

class BufferBudgets : public testing::TestWithParam<HolderRow>
{
};

// Guards against callers that end the process for all by sending or not reading large bodies together.
TEST_P(BufferBudgets, NameTheConnectionThatHasToEnd)
{
    const auto &row = GetParam();
    BufferBudget budget(row.limit);
    for (const auto held : row.held) {
        budget.change(0, held);
    }
    EXPECT_EQ(budget.isExceeded(), row.isExceeded);
    std::vector<BufferHolder> holders;
    for (const auto held : row.held) {
        holders.push_back({.bytes = held});
    }
    EXPECT_EQ(BufferBudget::nextToEnd(holders, BufferBudget::Scope::All), row.largest);
    for (const auto held : row.held) {
        budget.change(held, 0);
    }
    EXPECT_EQ(budget.held(), 0U);
}

struct StageRow
{
    const char *name;
    std::vector<BufferHolder> holders;
    BufferBudget::Scope scope;
    std::optional<std::size_t> next;
};

constexpr std::size_t Large = BufferBudget::LargeArrivalBytes;

const StageRow StageRows[] = {
    {"ArrivingBeforeLargerRunning",
     {{Large, HoldingStage::Running}, {5, HoldingStage::Arriving}},
     BufferBudget::Scope::All,
     1},
    {"StalledBeforeLargerArriving",
     {{Large, HoldingStage::Arriving}, {5, HoldingStage::Stalled}},
     BufferBudget::Scope::All,
     1},
    {"TheLargestOfAStage",
     {{4, HoldingStage::Arriving}, {6, HoldingStage::Arriving}, {9, HoldingStage::Running}},
     BufferBudget::Scope::All,
     1},
    {"RunningIfNothingElseHolds",
     {{0, HoldingStage::Stalled}, {0, HoldingStage::Arriving}, {9, HoldingStage::Running}},
     BufferBudget::Scope::All,
     2},
    {"OnlyLargeArrivals",
     {{Large - 1, HoldingStage::Arriving}, {Large, HoldingStage::Arriving}, {2 * Large, HoldingStage::Running}},
     BufferBudget::Scope::LargeArrivals,
     1},
    {"NoLargeArrival",
     {{Large - 1, HoldingStage::Arriving}, {2 * Large, HoldingStage::Running}},
     BufferBudget::Scope::LargeArrivals,
     std::nullopt},
};

class StagesOfHolders : public testing::TestWithParam<StageRow>
{
};

// Guards against running requests that are ended for memory while requests that could be refused as not run arrive.
TEST_P(StagesOfHolders, DecideWhoEndsFirst)
{
    EXPECT_EQ(BufferBudget::nextToEnd(GetParam().holders, GetParam().scope), GetParam().next);
}

INSTANTIATE_TEST_SUITE_P(All, StagesOfHolders, testing::ValuesIn(StageRows),
                         [](const auto &row) { return row.param.name; });

INSTANTIATE_TEST_SUITE_P(All, BufferBudgets, testing::ValuesIn(HolderRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
