#include "restoredlog/restoredworld.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

using namespace Heatherridge;

namespace
{

struct ScheduleRow
{
    const char *name;
    RestoreSafeguards safeguards;
    bool holds;
};

const ScheduleRow ScheduleRows[] = {
    // Guards against gateways that revert rules, use withdrawn targets, miss changes or lose reports once the log has
    // come back from an older copy.
    {"AllSafeguards", {}, true},
    // The parts themselves drop answers to calls from before the change.
    {"AnswersOfPassedErasBelieved", {.judgesEras = false}, true},
    {"RegistersNotReadAnew", {.readsAnew = false}, false},
    {"ReportsNotToldAgain", {.tellsAgain = false}, false},
    {"RevisionsUnknown", {.knowsRevisions = false}, false},
};

/** More by hand: RESTORED_SCHEDULES=5000. */
std::uint64_t scheduleCount()
{
    constexpr std::uint64_t usual = 150;
    const char *wanted = std::getenv("RESTORED_SCHEDULES");
    return wanted == nullptr ? usual : std::stoull(wanted);
}

class RestoredLogs : public testing::TestWithParam<ScheduleRow>
{
};

TEST_P(RestoredLogs, TakeNothingBackThatWasInForce)
{
    const auto &row = GetParam();
    const auto schedules = scheduleCount();
    int failed = 0;
    for (std::uint64_t seed = 1; seed <= schedules && (row.holds || failed == 0); ++seed) {
        RestoredWorld world(seed, row.safeguards);
        const auto fault = world.play();
        failed += fault.empty() ? 0 : 1;
        if (row.holds) {
            EXPECT_EQ(fault, "") << "seed " << seed;
        }
    }
    EXPECT_EQ(failed == 0, row.holds);
}

INSTANTIATE_TEST_SUITE_P(All, RestoredLogs, testing::ValuesIn(ScheduleRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
