#include "heatherridge_state/decisions/answertimeout.h"

#include <gtest/gtest.h>

#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

struct TimeoutRow
{
    const char *name;
    std::vector<std::chrono::milliseconds> answers; ///< the last twenty round trips, in turn
    int recordTimeout; ///< answers that did not come since
    std::chrono::milliseconds atLeast;
    std::chrono::milliseconds atMost;
};

const TimeoutRow TimeoutRows[] = {
    {"nothing measured", {}, 0, 80ms, 80ms},
    {"near engines", {4ms}, 0, 25ms, 25ms},
    {"engines a zone away", {20ms}, 0, 25ms, 40ms},
    {"answers that spread", {5ms, 35ms}, 0, 60ms, 80ms},
    {"answers slower than the longest wait", {120ms}, 0, 80ms, 80ms},
    {"one answer lost", {20ms}, 1, 40ms, 80ms},
    {"many answers lost", {20ms}, 20, 80ms, 80ms},
};

class AnswerTimeouts : public testing::TestWithParam<TimeoutRow>
{
};

// Guards against switches of maps that wait many round trips for each lost answer, and against orders that are given
// again before slow engines can have answered.
TEST_P(AnswerTimeouts, FollowRoundTripsAndBackOff)
{
    const auto &row = GetParam();
    AnswerTimeout timeout({.minimum = 25ms, .maximum = 80ms});
    for (int round = 0; round < 20 && !row.answers.empty(); ++round) {
        timeout.recordAnswer(row.answers[static_cast<std::size_t>(round) % row.answers.size()]);
    }
    for (int lost = 0; lost < row.recordTimeout; ++lost) {
        timeout.recordTimeout();
    }
    EXPECT_GE(timeout.current(), row.atLeast) << row.name;
    EXPECT_LE(timeout.current(), row.atMost) << row.name;
}

INSTANTIATE_TEST_SUITE_P(Table, AnswerTimeouts, testing::ValuesIn(TimeoutRows));

TEST(AnswerTimeout, FallsAgainWithTheNextAnswer)
{
    AnswerTimeout timeout({.minimum = 25ms, .maximum = 80ms});
    timeout.recordAnswer(20ms);
    timeout.recordTimeout();
    timeout.recordTimeout();
    const auto backedOff = timeout.current();
    timeout.recordAnswer(20ms);
    EXPECT_LT(timeout.current(), backedOff);
}

} // namespace
