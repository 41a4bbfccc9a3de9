#include "heatherridge_state/decisions/groupadmission.h"
#include "heatherridge_state/decisions/slowstart.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start(1h);
constexpr double Share = 0.25;
constexpr std::size_t Engines = 8;

const PassTimeModel PassTimes{
    .baseTime = 18.2ms, .timePerRequest = 3.62ms, .promptTime = 13.6ms, .passesPerStream = 24, .maxPassTime = 108ms};

GroupLoad loadOf(double requestsPerEngine)
{
    const double requests = requestsPerEngine * Engines;
    const int own = static_cast<int>(requests * Share);
    return {.reportedPass = 40ms,
            .requests = requests,
            .ownRequests = own,
            .ownRequestsAtReport = own,
            .engines = Engines,
            .slots = 12 * Engines};
}

/** Returns a group that has been open for a long time. */
GroupAdmission established()
{
    GroupAdmission group;
    group.setOpen(true, Start - 1h);
    group.evaluate(loadOf(1), PassTimes, Share, Start - 1min);
    return group;
}

struct GroupViewCase
{
    const char *description;
    std::chrono::milliseconds pause; ///< of all passes in the last seconds, with four requests per engine
    double requestsPerEngine; ///< at present
    bool hasHeadroom;
    bool cannotBeOnTime;
};

const GroupViewCase GroupViewCases[] = {
    {"short passes, some requests", 45ms, 6, true, false},
    {"short passes, as many requests as can be on time", 45ms, 15, false, false},
    {"long passes, some requests", 90ms, 6, false, false},
    {"long passes, few requests", 90ms, 3, true, false},
    {"passes too long even for a single request", 290ms, 1, false, true},
};

class GroupView : public testing::TestWithParam<GroupViewCase>
{
};

TEST_P(GroupView, FollowsFromPauses)
{
    const auto &row = GetParam();
    auto group = established();
    auto now = Start;
    for (int pass = 0; pass < 20; ++pass) {
        group.evaluate(loadOf(4), PassTimes, Share, now);
        now += row.pause;
        group.recordPause(row.pause, now);
    }
    const auto view = group.evaluate(loadOf(row.requestsPerEngine), PassTimes, Share, now);
    EXPECT_EQ(view.hasHeadroom, row.hasHeadroom) << row.description;
    EXPECT_EQ(view.cannotBeOnTime, row.cannotBeOnTime) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, GroupView, testing::ValuesIn(GroupViewCases));

struct LateHeadroomCase
{
    const char *description;
    std::chrono::milliseconds badPause; ///< of some passes two seconds ago
    double requestsPerEngine;
    bool hasHeadroom;
    bool hasHeadroomForLate;
};

// Guards against groups that stay full of late streams between two jumps of demand, so that each jump delays timely
// streams as well, and against groups kept so empty for the next jump that timely streams wait although engines have
// headroom.
const LateHeadroomCase LateHeadroomCases[] = {
    {"no bad moments", 45ms, 8, true, true},
    {"bad moments that only fewer requests would have passed on time", 110ms, 8, true, false},
    {"headroom even for bad moments", 110ms, 2, true, true},
    {"no headroom at all", 110ms, 15, false, false},
};

class HeadroomForLate : public testing::TestWithParam<LateHeadroomCase>
{
};

TEST_P(HeadroomForLate, IsLimitedByRecentBadMoments)
{
    const auto &row = GetParam();
    auto group = established();
    auto now = Start;
    const auto passes = [&](int count, std::chrono::milliseconds pause) {
        for (int pass = 0; pass < count; ++pass) {
            group.evaluate(loadOf(4), PassTimes, Share, now);
            now += pause;
            group.recordPause(pause, now);
        }
    };
    passes(10, row.badPause);
    passes(40, 45ms);
    const auto view = group.evaluate(loadOf(row.requestsPerEngine), PassTimes, Share, now);
    EXPECT_EQ(view.hasHeadroom, row.hasHeadroom) << row.description;
    EXPECT_EQ(view.hasHeadroomForLate, row.hasHeadroomForLate) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, HeadroomForLate, testing::ValuesIn(LateHeadroomCases));

struct OthersGrowthCase
{
    const char *name;
    int own; ///< requests of this entry
    int ownRequestsAtReport; ///< when the engines last reported their load
    double othersReported; ///< requests of the other entries at that time
    bool hasHeadroom; ///< there is headroom while the group has less than 18 requests per engine
};

const OthersGrowthCase OthersGrowthCases[] = {
    {"unchanged since the report", 20, 20, 60, true},
    {"the entry has sent twice as much since", 40, 20, 60, false},
    {"many requests have ended since, without headroom before", 10, 36, 108, true},
    {"no headroom and unchanged since the report", 36, 36, 108, false},
    {"nothing reported yet", 36, 0, 0, false},
};

class OthersGrowth : public testing::TestWithParam<OthersGrowthCase>
{
};

// Guards against entries that all send to one healthy group until its passes break the promise, because each entry
// counts only its own streams since the engines last reported their load.
TEST_P(OthersGrowth, IsAssumedToMatchOwnGrowth)
{
    const auto &row = GetParam();
    auto group = established();
    auto now = Start;
    for (int pass = 0; pass < 20; ++pass) {
        group.evaluate(loadOf(4), PassTimes, Share, now);
        now += 45ms;
        group.recordPause(45ms, now);
    }
    const auto view = group.evaluate({.reportedPass = 45ms,
                                      .requests = row.othersReported + row.own,
                                      .ownRequests = row.own,
                                      .ownRequestsAtReport = row.ownRequestsAtReport,
                                      .engines = Engines,
                                      .slots = 12 * Engines},
                                     PassTimes, Share, now);
    EXPECT_EQ(view.hasHeadroom, row.hasHeadroom) << row.name;
}

INSTANTIATE_TEST_SUITE_P(Table, OthersGrowth, testing::ValuesIn(OthersGrowthCases));

// Guards against four entries that each fill a newly opened group on their own, because no status shows yet what the
// others have sent.
TEST(GroupAdmission, FourEntriesTogetherFillStartingGroupOnce)
{
    GroupAdmission group;
    group.setOpen(true, Start);
    int sent = 0;
    auto passEnds = Start + 50ms;
    for (auto now = Start; now < Start + 500ms; now += 10ms) {
        auto load = loadOf(0);
        load.requests = sent;
        load.ownRequests = sent;
        while (group.evaluate(load, PassTimes, Share, now).hasHeadroom) {
            group.recordSent(now);
            load.ownRequests = ++sent;
            load.requests = sent;
        }
        if (now >= passEnds) {
            group.recordPause(50ms, now);
            passEnds += 50ms;
        }
    }
    const double maxRequests = maxRequestsOnTime(1, Engines, PassTimes);
    EXPECT_TRUE(group.isStarting());
    EXPECT_LE(sent, maxRequests * Share);
    EXPECT_GT(sent, maxRequests * Share / 4);
}

// All engines lose power. After the restart they read all waiting prompts with a map that fits nothing, in passes of
// 150 ms; half a second later passes are short. Guards against keeping the group half empty for five seconds because of
// these first passes.
TEST(GroupAdmission, IgnoresStartupPassesOnceEstablished)
{
    GroupAdmission group;
    group.setOpen(true, Start);
    auto now = Start;
    for (int pass = 0; pass < 5; ++pass) {
        group.evaluate(loadOf(4), PassTimes, Share, now);
        now += 150ms;
        group.recordPause(150ms, now);
    }
    EXPECT_FALSE(group.evaluate(loadOf(4), PassTimes, Share, now).hasHeadroom);
    while (now < Start + SlowStartDuration + 500ms) {
        now += 45ms;
        group.recordPause(45ms, now);
        group.evaluate(loadOf(4), PassTimes, Share, now);
    }
    EXPECT_FALSE(group.isStarting());
    EXPECT_TRUE(group.evaluate(loadOf(8), PassTimes, Share, now).hasHeadroom);
}

TEST(GroupAdmission, SendsAtMostItsShareWithinAPass)
{
    auto group = established();
    int sent = 0;
    while (group.evaluate(loadOf(1), PassTimes, Share, Start).hasHeadroom) {
        group.recordSent(Start);
        ++sent;
        ASSERT_LT(sent, 100);
    }
    EXPECT_GE(sent, 1);
    EXPECT_TRUE(group.evaluate(loadOf(1), PassTimes, Share, Start + GroupAdmission::MaxPass).hasHeadroom);
}

} // namespace
