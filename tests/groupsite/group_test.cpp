#include "groupsite/groupdeployment.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

const std::vector<int> AllRanks{0, 1, 2, 3};

/** Waits for a switch to a map above @p earlier on all of @p ranks; returns whether it took effect. */
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
 * Guards against two ranks using different maps in one step, which gives users tokens from the wrong experts. Checks
 * that the map changes when an expert becomes hot, also during a log outage; that the group keeps stepping while a
 * rank's process is down and the map changes after its restart; that another leader takes over when the leader is
 * killed; and that a new epoch forms when an engine dies.
 */
TEST(Group, ChangesMapDuringFaultsAndNeverUsesTwoMapsInOneStep)
{
    GroupDeployment site;
    std::string difference;
    ASSERT_TRUE(site.waitForProgress(AllRanks)) << "the group did not start stepping";

    auto mapBefore = site.minMapNumber(AllRanks);
    site.setHotExpert(0);
    EXPECT_TRUE(waitForMapAbove(site, mapBefore, AllRanks)) << "no switch for a hot expert";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;

    site.setLogOutage(true);
    mapBefore = site.minMapNumber(AllRanks);
    site.setHotExpert(5);
    EXPECT_TRUE(waitForMapAbove(site, mapBefore, AllRanks)) << "no switch during the log outage";
    EXPECT_TRUE(site.waitForProgress(AllRanks)) << "the log outage stalled the group";
    site.setLogOutage(false);

    const int leader = site.leaderRank();
    ASSERT_GE(leader, 0);
    const int other = (leader + 1) % GroupDeployment::Ranks;
    const auto epochBefore = site.stepReport(leader)["epoch"];
    site.killGate(other);
    EXPECT_TRUE(site.waitForProgress(AllRanks)) << "the group stalled without the process of one rank";
    EXPECT_EQ(site.stepReport(leader)["epoch"], epochBefore) << "the group stalled and went on without the rank";
    site.startGate(other);
    mapBefore = site.minMapNumber(AllRanks);
    site.setHotExpert(2);
    EXPECT_TRUE(waitForMapAbove(site, mapBefore, AllRanks)) << "no switch after the process of a rank had restarted";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;

    site.killGate(leader);
    EXPECT_TRUE(GroupDeployment::waitUntil([&] { return site.leaderRank() >= 0; })) << "no rank took over leadership";
    site.startGate(leader);
    mapBefore = site.minMapNumber(AllRanks);
    site.setHotExpert(7);
    EXPECT_TRUE(waitForMapAbove(site, mapBefore, AllRanks)) << "no switch under the new leader";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;

    site.restartEngine(other);
    EXPECT_TRUE(site.waitForProgress(AllRanks)) << "the group did not include all ranks again";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;
}

/** A withdrawn rank is evacuated by a switch and then removed from the group, while the other ranks keep stepping. Once
 * listed again it is readmitted. */
TEST(Group, RemovesWithdrawnRankAndReadmitsIt)
{
    GroupDeployment site;
    std::string difference;
    ASSERT_TRUE(site.waitForProgress(AllRanks)) << "the group did not start stepping";
    site.publishInventory(3);
    EXPECT_TRUE(GroupDeployment::waitUntil([&] {
        return site.stepReport(3)["epoch"] == site.stepReport(0)["epoch"] && !site.isStepping({3})
            && site.isStepping(allRanksExcept(3));
    })) << "the withdrawn rank was not removed";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;
    site.publishInventory(-1);
    EXPECT_TRUE(site.waitForProgress(AllRanks)) << "the rank was not readmitted";
    EXPECT_TRUE(site.mapsAgree(difference)) << difference;
}

} // namespace
