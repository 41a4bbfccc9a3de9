#include "restoredlog/logrestoresimulation.h"

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
    bool expectsNoFailure;
};

const ScheduleRow ScheduleRows[] = {
    // Guards against gateways that revert rules, use withdrawn targets, miss changes or lose reports once the log has
    // come back from an older copy.
    {"AllSafeguards", {}, true},
    // The parts themselves drop answers to calls from before the change.
    {"AnswersOfPassedErasBelieved", {.checksEras = false}, true},
    {"RegistersNotReadAnew", {.rereadsRegisters = false}, false},
    {"ReportsNotToldAgain", {.resendsReports = false}, false},
    {"RevisionsUnknown", {.comparesRevisions = false}, false},
};

/** More by hand: RESTORED_SCHEDULES=5000. */
std::uint64_t scheduleCount()
{
    constexpr std::uint64_t defaultCount = 150;
    const char *requestedCount = std::getenv("RESTORED_SCHEDULES");
    return requestedCount == nullptr ? defaultCount : std::stoull(requestedCount);
}

class LogRestore : public testing::TestWithParam<ScheduleRow>
{
};

TEST_P(LogRestore, RevertsNothingInForce)
{
    const auto &row = GetParam();
    const auto schedules = scheduleCount();
    int failedRuns = 0;
    for (std::uint64_t seed = 1; seed <= schedules && (row.expectsNoFailure || failedRuns == 0); ++seed) {
        LogRestoreSimulation simulation(seed, row.safeguards);
        const auto failure = simulation.run();
        failedRuns += failure.empty() ? 0 : 1;
        if (row.expectsNoFailure) {
            EXPECT_EQ(failure, "") << "seed " << seed;
        }
    }
    EXPECT_EQ(failedRuns == 0, row.expectsNoFailure);
}

INSTANTIATE_TEST_SUITE_P(All, LogRestore, testing::ValuesIn(ScheduleRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
