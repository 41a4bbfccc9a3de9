#include "heatherridge_state/decisions/stopschedule.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

/** An attempt during a stop that refuses from 3 s on and cuts at 7.7 s. */
struct AttemptRow
{
    const char *name;
    RequestKind kind;
    std::chrono::milliseconds at; ///< since the stop began
    std::chrono::milliseconds deadline; ///< since the stop began
    std::chrono::milliseconds objective;
    bool mayBegin; ///< if no target has run it
    bool mayRepeat; ///< if a target may have run it
};

const AttemptRow AttemptRows[] = {
    {"EarlyAndShort", RequestKind::NonIdempotent, 2'999ms, 5'000ms, 400ms, true, true},
    {"EarlyAndLong", RequestKind::NonIdempotent, 2'999ms, 60'000ms, 400ms, true, true},
    {"EarlyWithALongObjective", RequestKind::Idempotent, 2'000ms, 60'000ms, 6'000ms, true, false},
    {"LateAndShort", RequestKind::Idempotent, 3'000ms, 7'700ms, 400ms, true, true},
    {"LateAndLong", RequestKind::Idempotent, 3'000ms, 7'701ms, 400ms, false, true},
    {"AnswerIsDueAtTheCut", RequestKind::Idempotent, 7'300ms, 9'000ms, 400ms, false, true},
    {"AnswerIsDueAfterTheCut", RequestKind::Idempotent, 7'301ms, 9'000ms, 400ms, false, false},
    {"LateStream", RequestKind::EventStream, 3'000ms, 7'000ms, 400ms, false, true},
    {"StreamShortlyBeforeTheCut", RequestKind::EventStream, 7'600ms, 9'000ms, 400ms, false, false},
};

class AttemptsDuringAStop : public testing::TestWithParam<AttemptRow>
{
};

// Guards against an attempt whose answer comes only after the process has closed its connections.
TEST_P(AttemptsDuringAStop, BeginOnlyIfTheirAnswerIsDueInTime)
{
    const auto &row = GetParam();
    const auto begin = SteadyTime{} + 1h;
    const StopSchedule schedule{.refusesFrom = begin + 3'000ms, .cutAt = begin + 7'700ms};
    EXPECT_EQ(schedule.mayBegin(row.kind, begin + row.deadline, begin + row.at), row.mayBegin);
    EXPECT_EQ(schedule.mayRepeat(begin + row.deadline, row.objective, begin + row.at), row.mayRepeat);
}

INSTANTIATE_TEST_SUITE_P(Table, AttemptsDuringAStop, testing::ValuesIn(AttemptRows),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
