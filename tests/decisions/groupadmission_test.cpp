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

const PassTimeModel Rules{
    .baseTime = 18.2ms, .timePerRequest = 3.62ms, .promptTime = 13.6ms, .passesPerStream = 24, .maxPassTime = 108ms};

GroupWork workOf(double requestsPerEngine)
{
    const double requests = requestsPerEngine * Engines;
    const int own = static_cast<int>(requests * Share);
    return {.reportedPass = 40ms,
            .requests = requests,
            .own = own,
            .ownReported = own,
            .engines = Engines,
            .slots = 12 * Engines};
}

/** A group that has been open for long. */
GroupAdmission established()
{
    GroupAdmission group;
    group.setOpen(true, Start - 1h);
    group.view(workOf(1), Rules, Share, Start - 1min);
    return group;
}

struct ViewRow
{
    const char *story;
    std::chrono::milliseconds pause; ///< of all passes of the last seconds, with four requests an engine
    double requestsPerEngine; ///< now
    bool hasRoom;
    bool cannotBeOnTime;
};

const ViewRow ViewRows[] = {
    {"short passes, some requests", 45ms, 6, true, false},
    {"short passes, as many as are on time", 45ms, 15, false, false},
    {"long passes, some requests", 90ms, 6, false, false},
    {"long passes, few requests", 90ms, 3, true, false},
    {"passes that keep no promise with a single request", 290ms, 1, false, true},
};

class Views : public testing::TestWithParam<ViewRow>
{
};

TEST_P(Views, FollowFromPauses)
{
    const auto &row = GetParam();
    auto group = established();
    auto now = Start;
    for (int pass = 0; pass < 20; ++pass) {
        group.view(workOf(4), Rules, Share, now);
        now += row.pause;
        group.recordPause(row.pause, now);
    }
    const auto view = group.view(workOf(row.requestsPerEngine), Rules, Share, now);
    EXPECT_EQ(view.hasRoom, row.hasRoom) << row.story;
    EXPECT_EQ(view.cannotBeOnTime, row.cannotBeOnTime) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, Views, testing::ValuesIn(ViewRows));

struct LateRow
{
    const char *story;
    std::chrono::milliseconds badPause; ///< of some passes, two seconds ago
    double requestsPerEngine;
    bool hasRoom;
    bool hasRoomForLate;
};

// Groups stay full of late streams between two jumps of demand, so that each jump makes timely ones late as well; or
// they are kept so empty for the next jump that timely ones wait before engines with room.
const LateRow LateRows[] = {
    {"no bad moments", 45ms, 8, true, true},
    {"bad moments that fewer requests would have met", 110ms, 8, true, false},
    {"room even for those", 110ms, 2, true, true},
    {"no room at all", 110ms, 15, false, false},
};

class RoomForLate : public testing::TestWithParam<LateRow>
{
};

TEST_P(RoomForLate, IsWhatBadMomentsCarry)
{
    const auto &row = GetParam();
    auto group = established();
    auto now = Start;
    const auto passes = [&](int count, std::chrono::milliseconds pause) {
        for (int pass = 0; pass < count; ++pass) {
            group.view(workOf(4), Rules, Share, now);
            now += pause;
            group.recordPause(pause, now);
        }
    };
    passes(10, row.badPause);
    passes(40, 45ms);
    const auto view = group.view(workOf(row.requestsPerEngine), Rules, Share, now);
    EXPECT_EQ(view.hasRoom, row.hasRoom) << row.story;
    EXPECT_EQ(view.hasRoomForLate, row.hasRoomForLate) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, RoomForLate, testing::ValuesIn(LateRows));

struct GrowthRow
{
    const char *name;
    int own; ///< requests of the entry
    int ownReported; ///< when engines last told their load
    double othersReported; ///< requests of other entries then
    bool hasRoom; ///< for which there is room while the group has less than 18 an engine
};

const GrowthRow GrowthRows[] = {
    {"as it was told", 20, 20, 60, true},
    {"the entry has sent twice as much since", 40, 20, 60, false},
    {"much has ended since, where there was no room", 10, 36, 108, true},
    {"no room, and nothing has changed", 36, 36, 108, false},
    {"nothing was told yet", 36, 0, 0, false},
};

class OthersGrowth : public testing::TestWithParam<GrowthRow>
{
};

// Guards against entries that all send to one sound group until its passes break the promise, because each counts only
// its own streams since the engines last told their load.
TEST_P(OthersGrowth, IsTakenToBeAsThatOfTheEntry)
{
    const auto &row = GetParam();
    auto group = established();
    auto now = Start;
    for (int pass = 0; pass < 20; ++pass) {
        group.view(workOf(4), Rules, Share, now);
        now += 45ms;
        group.recordPause(45ms, now);
    }
    const auto view = group.view({.reportedPass = 45ms,
                                  .requests = row.othersReported + row.own,
                                  .own = row.own,
                                  .ownReported = row.ownReported,
                                  .engines = Engines,
                                  .slots = 12 * Engines},
                                 Rules, Share, now);
    EXPECT_EQ(view.hasRoom, row.hasRoom) << row.name;
}

INSTANTIATE_TEST_SUITE_P(Table, OthersGrowth, testing::ValuesIn(GrowthRows));

// Guards against four entries that each fill a group which has just opened by themselves, since no status shows yet
// what the others have sent.
TEST(GroupAdmission, OfFourEntriesFillsAStartingGroupOnce)
{
    GroupAdmission group;
    group.setOpen(true, Start);
    int sent = 0;
    auto passEnds = Start + 50ms;
    for (auto now = Start; now < Start + 500ms; now += 10ms) {
        auto work = workOf(0);
        work.requests = sent;
        work.own = sent;
        while (group.view(work, Rules, Share, now).hasRoom) {
            group.sent(now);
            work.own = ++sent;
            work.requests = sent;
        }
        if (now >= passEnds) {
            group.recordPause(50ms, now);
            passEnds += 50ms;
        }
    }
    const double most = maxRequestsOnTime(1, Engines, Rules);
    EXPECT_TRUE(group.isStarting());
    EXPECT_LE(sent, most * Share);
    EXPECT_GT(sent, most * Share / 4);
}

// All engines lose power. When they are back they read all that has waited with a map that fits nothing, in passes of
// 150 ms; half a second later passes are short. The group was kept half empty for five seconds for these first passes.
TEST(GroupAdmission, ForgetsHowTheGroupStarted)
{
    GroupAdmission group;
    group.setOpen(true, Start);
    auto now = Start;
    for (int pass = 0; pass < 5; ++pass) {
        group.view(workOf(4), Rules, Share, now);
        now += 150ms;
        group.recordPause(150ms, now);
    }
    EXPECT_FALSE(group.view(workOf(4), Rules, Share, now).hasRoom);
    while (now < Start + SlowStartDuration + 500ms) {
        now += 45ms;
        group.recordPause(45ms, now);
        group.view(workOf(4), Rules, Share, now);
    }
    EXPECT_FALSE(group.isStarting());
    EXPECT_TRUE(group.view(workOf(8), Rules, Share, now).hasRoom);
}

TEST(GroupAdmission, SendsNoMoreThanItsShareWithinAPass)
{
    auto group = established();
    int sent = 0;
    while (group.view(workOf(1), Rules, Share, Start).hasRoom) {
        group.sent(Start);
        ++sent;
        ASSERT_LT(sent, 100);
    }
    EXPECT_GE(sent, 1);
    EXPECT_TRUE(group.view(workOf(1), Rules, Share, Start + GroupAdmission::LongestPass).hasRoom);
}

} // namespace
