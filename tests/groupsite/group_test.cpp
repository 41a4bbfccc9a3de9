#include "groupsite/groupdeployment.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

const std::vector<int> AllRanks{0, 1, 2, 3};

/** Whether a switch beyond map @p before takes effect on all of @p ranks. */
bool waitForMapAbove(const GroupDeployment &site, std::uint64_t earlier, const std::vector<int> &ranks)
{
    return GroupDeployment::waitUntil([&] { return site.minMapNumber(ranks) > earlier; });
}

std::vector<int> allRanksExcept(int rank)
{
    std::vector<int> remaining;
    for (const int other : AllRanks) {
        if (other != rank) {
            remaining.push_back(other);
        }
    }
    return remaining;
}

/**
 * A user sees tokens of another expert's, if two ranks step with different maps. So: an expert gets hot and the map
 * changes; the log goes out and it changes all the same; a rank's process is killed and the group steps on; it comes
 * back and the map changes; the leader is killed and another leads; an engine dies and the group is composed anew.
 */
TEST(Group, ChangesMapDuringFaultsAndNeverUsesTwoMapsInOneStep)
{
    GroupDeployment site;
    std::string difference;
    ASSERT_TRUE(site.isStepping(AllRanks)) << "the group never came up";

    auto mapBefore = site.minMapNumber(AllRanks);
    site.setHotExpert(0);
    EXPECT_TRUE(waitForMapAbove(site, mapBefore, AllRanks)) << "no switch for a hot expert";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;

    site.setLogOutage(true);
    mapBefore = site.minMapNumber(AllRanks);
    site.setHotExpert(5);
    EXPECT_TRUE(waitForMapAbove(site, mapBefore, AllRanks)) << "no switch while the log was out";
    EXPECT_TRUE(site.isStepping(AllRanks)) << "the log's outage stalled the group";
    site.setLogOutage(false);

    const int leader = site.leaderRank();
    ASSERT_GE(leader, 0);
    const int other = (leader + 1) % GroupDeployment::Ranks;
    site.killGate(other);
    EXPECT_TRUE(site.isStepping(AllRanks)) << "the group stood still without one rank's process";
    site.startGate(other);
    mapBefore = site.minMapNumber(AllRanks);
    site.setHotExpert(2);
    EXPECT_TRUE(waitForMapAbove(site, mapBefore, AllRanks)) << "no switch after a rank's process had restarted";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;

    site.killGate(leader);
    EXPECT_TRUE(GroupDeployment::waitUntil([&] { return site.leaderRank() >= 0; })) << "nobody took over";
    site.startGate(leader);
    mapBefore = site.minMapNumber(AllRanks);
    site.setHotExpert(7);
    EXPECT_TRUE(waitForMapAbove(site, mapBefore, AllRanks)) << "no switch under the new leader";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;

    site.restartEngine(other);
    EXPECT_TRUE(GroupDeployment::waitUntil([&] { return site.isStepping(AllRanks); }))
        << "the group was not made whole again";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;
}

/** The owners withdraw a rank: it is emptied by a switch, then left out, and the others step on. */
TEST(Group, RemovesWithdrawnRankAndReadmitsIt)
{
    GroupDeployment site;
    std::string difference;
    ASSERT_TRUE(site.isStepping(AllRanks)) << "the group never came up";
    site.publishInventory(3);
    EXPECT_TRUE(GroupDeployment::waitUntil([&] {
        return site.stepReport(3)["epoch"] == site.stepReport(0)["epoch"] && !site.isStepping({3})
            && site.isStepping(allRanksExcept(3));
    })) << "the rank was not left out";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;
    site.publishInventory(-1);
    EXPECT_TRUE(GroupDeployment::waitUntil([&] { return site.isStepping(AllRanks); }))
        << "the rank was not taken up again";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;
}

} // namespace
