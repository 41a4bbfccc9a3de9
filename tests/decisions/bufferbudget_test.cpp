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
    EXPECT_EQ(BufferBudget::largestHolder(row.held), row.largest);
    for (const auto held : row.held) {
        budget.change(held, 0);
    }
    EXPECT_EQ(budget.held(), 0U);
}

INSTANTIATE_TEST_SUITE_P(All, BufferBudgets, testing::ValuesIn(HolderRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
