#include "groupsite/groupsite.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

const std::vector<int> All{0, 1, 2, 3};

/** Whether a switch beyond map @p before takes effect on all of @p ranks. */
bool switchesBeyond(const GroupSite &site, std::uint64_t before, const std::vector<int> &ranks)
{
    return GroupSite::await([&] { return site.leastMap(ranks) > before; });
}

std::vector<int> without(int rank)
{
    std::vector<int> others;
    for (const int other : All) {
        if (other != rank) {
            others.push_back(other);
        }
    }
    return others;
}

/**
 * A user sees tokens of another expert's, if two ranks step with different maps. So: an expert gets hot and the map
 * changes; the log goes out and it changes all the same; a rank's process is killed and the group steps on; it comes
 * back and the map changes; the leader is killed and another leads; an engine dies and the group is composed anew.
 */
TEST(Group, ChangesItsMapThroughKillsAndOutagesAndNeverUsesTwoInOneStep)
{
    GroupSite site;
    std::string why;
    ASSERT_TRUE(site.stepOn(All)) << "the group never came up";

    auto map = site.leastMap(All);
    site.heat(0);
    EXPECT_TRUE(switchesBeyond(site, map, All)) << "no switch for a hot expert";
    EXPECT_TRUE(site.agree(why)) << why;

    site.setLogOut(true);
    map = site.leastMap(All);
    site.heat(5);
    EXPECT_TRUE(switchesBeyond(site, map, All)) << "no switch while the log was out";
    EXPECT_TRUE(site.stepOn(All)) << "the log's outage stalled the group";
    site.setLogOut(false);

    const int leader = site.leader();
    ASSERT_GE(leader, 0);
    const int other = (leader + 1) % GroupSite::Ranks;
    site.killGate(other);
    EXPECT_TRUE(site.stepOn(All)) << "the group stood still without one rank's process";
    site.startGate(other);
    map = site.leastMap(All);
    site.heat(2);
    EXPECT_TRUE(switchesBeyond(site, map, All)) << "no switch after a rank's process had restarted";
    EXPECT_TRUE(site.agree(why)) << why;

    site.killGate(leader);
    EXPECT_TRUE(GroupSite::await([&] { return site.leader() >= 0; })) << "nobody took over";
    site.startGate(leader);
    map = site.leastMap(All);
    site.heat(7);
    EXPECT_TRUE(switchesBeyond(site, map, All)) << "no switch under the new leader";
    EXPECT_TRUE(site.agree(why)) << why;

    site.restartEngine(other);
    EXPECT_TRUE(GroupSite::await([&] { return site.stepOn(All); })) << "the group was not made whole again";
    EXPECT_TRUE(site.agree(why)) << why;
}

/** The owners withdraw a rank: it is emptied by a switch, then left out, and the others step on. */
TEST(Group, LeavesAWithdrawnRankOutAndTakesItUpAgain)
{
    GroupSite site;
    std::string why;
    ASSERT_TRUE(site.stepOn(All)) << "the group never came up";
    site.publish(3);
    EXPECT_TRUE(GroupSite::await([&] {
        return site.steps(3)["epoch"] == site.steps(0)["epoch"] && !site.stepOn({3}) && site.stepOn(without(3));
    })) << "the rank was not left out";
    EXPECT_TRUE(site.agree(why)) << why;
    site.publish(-1);
    EXPECT_TRUE(GroupSite::await([&] { return site.stepOn(All); })) << "the rank was not taken up again";
    EXPECT_TRUE(site.agree(why)) << why;
}

} // namespace
