#include "heatherridge_state/decisions/otherstreams.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

/** Statements of 60 streams, 300 ms old, and statuses of all 6 engines that are 900 ms old. */
OtherStreamsInput makeInput(double reported)
{
    return {.stated = 60,
            .statedAge = 300ms,
            .reported = reported,
            .reportedAge = 900ms,
            .reportingEngines = 6,
            .engines = 6};
}

OtherStreamsInput olderThanStatuses()
{
    auto input = makeInput(30);
    input.statedAge = 900ms;
    return input;
}

OtherStreamsInput withReports(std::size_t engines, double reported, bool isStarting)
{
    auto input = makeInput(reported);
    input.reportingEngines = engines;
    input.isStarting = isStarting;
    return input;
}

struct StreamsRow
{
    const char *name;
    OtherStreamsInput input;
    OtherStreams expected;
};

const StreamsRow StreamsRows[] = {
    {"SameAsReported", makeInput(60), {.factor = 1, .growthWeight = 1.0 / 3}},
    {"FewerReported", makeInput(40), {.factor = 1.5, .growthWeight = 1.0 / 3}},
    {"FarFewerReported", makeInput(10), {.factor = 2, .growthWeight = 1.0 / 3}},
    {"FarMoreReported", makeInput(600), {.factor = 0.5, .growthWeight = 1.0 / 3}},
    {"NoneReported", makeInput(0), {.factor = 1, .growthWeight = 1.0 / 3}},
    {"StatementsAsOldAsStatuses", olderThanStatuses(), {}},
    {"HalfOfTheEnginesReported", withReports(3, 20, false), {.factor = 1.5, .growthWeight = 1.0 / 3}},
    {"NoneReportedAtTheStart", withReports(6, 0, true), {.factor = 1, .perEngine = 10, .growthWeight = 1.0 / 3}},
    {"FewReportedAtTheStart", withReports(6, 12, true), {.factor = 2, .perEngine = 6, .growthWeight = 1.0 / 3}},
    {"NoStatusYet", withReports(0, 0, true), {.factor = 0, .perEngine = 10, .growthWeight = 0}},
    {"NoEngines", {.stated = 60}, {}},
};

class StatedStreams : public testing::TestWithParam<StreamsRow>
{
};

// Guards against statements that are ignored although statuses are old or missing, and against wrong statements that
// outweigh what the engines report.
TEST_P(StatedStreams, CorrectStatusesWithinLimits)
{
    const auto &row = GetParam();
    const auto others = otherStreams(row.input);
    EXPECT_DOUBLE_EQ(others.factor, row.expected.factor);
    EXPECT_DOUBLE_EQ(others.perEngine, row.expected.perEngine);
    EXPECT_DOUBLE_EQ(others.growthWeight, row.expected.growthWeight);
}

INSTANTIATE_TEST_SUITE_P(All, StatedStreams, testing::ValuesIn(StreamsRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
