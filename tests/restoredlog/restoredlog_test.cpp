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
    // Guards against gateways that revert rules, use withdrawn targets, miss changes or lose reports after the log was
    // restored from an older copy.
    {"AllSafeguards", {}, true},
    // Passes because the components themselves drop answers to calls from before the restore.
    {"AnswersOfPastErasAccepted", {.checksEras = false}, true},
    {"RegistersNotReread", {.rereadsRegisters = false}, false},
    {"ReportsNotResent", {.resendsReports = false}, false},
    {"RevisionsIgnored", {.comparesRevisions = false}, false},
};

/** Returns the number of schedules; set RESTORED_SCHEDULES, for example to 5000, for a longer run. */
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
