#include "heatherridge_coordination/groups/rankmonitor.h"
#include "support/silentranks.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start(1h);

/** One rank, which is a group, with passes of one length. */
class SteadyRank final : public SilentRanks
{
public:
    void fetchStatus(const TargetEntry &, std::function<void(Result<RankStatus>)> done) override
    {
        const auto step = static_cast<std::uint64_t>((now - Start) / pass) + 10;
        done(RankStatus{.group = GroupName("g"), .epoch = 1, .size = 1, .isOpen = true, .step = step, .running = 1});
    }

    SteadyTime now = Start;
    std::chrono::milliseconds pass{50};
};

struct PassRow
{
    const char *name;
    std::chrono::milliseconds pass;
    std::chrono::milliseconds between; ///< statuses
};

const PassRow PassRows[] = {
    {"several passes between two statuses", 60ms, 400ms},
    {"one pass between two statuses", 100ms, 100ms},
    {"several statuses in one pass", 600ms, 60ms},
};

class PassTimes : public testing::TestWithParam<PassRow>
{
};

// Guards against passes of a slow group that are taken for short because its ranks are asked often: its switches then
// hold a pass many passes ahead.
TEST_P(PassTimes, DoNotDependOnHowOftenRanksAreAsked)
{
    const auto &row = GetParam();
    SteadyRank rank;
    rank.pass = row.pass;
    RankMonitor watch(rank, {.period = row.between},
                      {.membershipChanged = [](const GroupName &) {},
                       .statusReceived = [](const GroupName &, const RankStatus &) {}});
    watch.setTargets({{.id = TargetName("0")}});
    for (; rank.now < Start + 4s; rank.now += row.between) {
        watch.tick(rank.now);
    }
    const auto measured = watch.group(GroupName("g")).passTime;
    EXPECT_GE(measured, row.pass * 3 / 4) << row.name;
    EXPECT_LE(measured, row.pass * 5 / 4) << row.name;
}

INSTANTIATE_TEST_SUITE_P(Table, PassTimes, testing::ValuesIn(PassRows));

} // namespace
