#include "heatherridge_coordination/groups/rankmonitor.h"
#include "support/stubrankcontrol.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start(1h);

/** A group of one rank whose passes all take the same time. */
class FixedPassRank final : public StubRankControl
{
public:
    void fetchStatus(const TargetEntry &, std::function<void(Result<RankStatus>)> done) override
    {
        const auto step = static_cast<std::uint64_t>((now - Start) / passTime) + 10;
        done(RankStatus{.group = GroupName("g"), .epoch = 1, .size = 1, .isOpen = true, .step = step, .running = 1});
    }

    SteadyTime now = Start;
    std::chrono::milliseconds passTime{50};
};

struct PassTimeCase
{
    const char *name;
    std::chrono::milliseconds passTime;
    std::chrono::milliseconds statusInterval; ///< between two statuses
};

const PassTimeCase PassTimeCases[] = {
    {"several passes between two statuses", 60ms, 400ms},
    {"one pass between two statuses", 100ms, 100ms},
    {"several statuses in one pass", 600ms, 60ms},
};

class PassTimes : public testing::TestWithParam<PassTimeCase>
{
};

// Guards against passes of a slow group that are measured as short because its ranks are polled often: its switches
// then hold a pass many passes ahead.
TEST_P(PassTimes, DoNotDependOnThePollingRate)
{
    const auto &testCase = GetParam();
    FixedPassRank rank;
    rank.passTime = testCase.passTime;
    RankMonitor monitor(rank, {.period = testCase.statusInterval},
                        {.membershipChanged = [](const GroupName &) {},
                         .statusReceived = [](const GroupName &, const RankStatus &) {}});
    monitor.setTargets({{.id = TargetName("0")}});
    for (; rank.now < Start + 4s; rank.now += testCase.statusInterval) {
        monitor.tick(rank.now);
    }
    const auto measured = monitor.group(GroupName("g")).passTime;
    EXPECT_GE(measured, testCase.passTime * 3 / 4) << testCase.name;
    EXPECT_LE(measured, testCase.passTime * 5 / 4) << testCase.name;
}

INSTANTIATE_TEST_SUITE_P(Table, PassTimes, testing::ValuesIn(PassTimeCases));

} // namespace
