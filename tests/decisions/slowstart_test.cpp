#include "heatherridge_state/decisions/slowstart.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

struct AllowanceRow
{
    const char *description;
    double capacity;
    int reportedLoad;
    double share;
    int allowance;
};

const AllowanceRow AllowanceRows[] = {
    {"an idle engine, one of four entries", 12, 0, 0.25, 3},
    {"the same for late streams", 6, 0, 0.25, 2},
    {"an engine that is half full", 12, 6, 0.25, 2},
    {"a full engine: a slot may have become free", 12, 12, 0.25, 1},
    {"one of hundreds of entries", 12, 0, 0.0, 1},
    {"the only entry", 12, 2, 1.0, 10},
};

class SlowStartAllowances : public testing::TestWithParam<AllowanceRow>
{
};

TEST_P(SlowStartAllowances, AreSharedAmongEntries)
{
    const auto &row = GetParam();
    EXPECT_EQ(slowStartAllowance(row.capacity, row.reportedLoad, row.share), row.allowance) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, SlowStartAllowances, testing::ValuesIn(AllowanceRows));

} // namespace
