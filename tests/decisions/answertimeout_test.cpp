#include "heatherridge_state/decisions/answertimeout.h"

#include <gtest/gtest.h>

#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

struct AnswerTimeoutCase
{
    const char *name;
    std::vector<std::chrono::milliseconds> roundTrips; ///< the last twenty round trips, in rotation
    int timeouts; ///< answers missing since then
    std::chrono::milliseconds atLeast;
    std::chrono::milliseconds atMost;
};

const AnswerTimeoutCase AnswerTimeoutCases[] = {
    {"nothing measured", {}, 0, 80ms, 80ms},
    {"near engines", {4ms}, 0, 25ms, 25ms},
    {"engines a zone away", {20ms}, 0, 25ms, 40ms},
    {"answers that spread", {5ms, 35ms}, 0, 60ms, 80ms},
    {"answers slower than the longest wait", {120ms}, 0, 80ms, 80ms},
    {"one answer lost", {20ms}, 1, 40ms, 80ms},
    {"many answers lost", {20ms}, 20, 80ms, 80ms},
};

class AnswerTimeouts : public testing::TestWithParam<AnswerTimeoutCase>
{
};

// Guards against map switches that wait many round trips for each lost answer, and against orders that are repeated
// before slow engines can have answered.
TEST_P(AnswerTimeouts, FollowRoundTripsAndBackOffAfterTimeouts)
{
    const auto &row = GetParam();
    AnswerTimeout timeout({.minimum = 25ms, .maximum = 80ms});
    for (int round = 0; round < 20 && !row.roundTrips.empty(); ++round) {
        timeout.recordAnswer(row.roundTrips[static_cast<std::size_t>(round) % row.roundTrips.size()]);
    }
    for (int missed = 0; missed < row.timeouts; ++missed) {
        timeout.recordTimeout();
    }
    EXPECT_GE(timeout.current(), row.atLeast) << row.name;
    EXPECT_LE(timeout.current(), row.atMost) << row.name;
}

INSTANTIATE_TEST_SUITE_P(Table, AnswerTimeouts, testing::ValuesIn(AnswerTimeoutCases));

TEST(AnswerTimeout, ResetsBackoffOnNextAnswer)
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
