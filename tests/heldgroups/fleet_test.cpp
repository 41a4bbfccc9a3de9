#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heldgroups/groupassignments.h"
#include "support/stubrankcontrol.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr int GroupSize = 96;
constexpr int Zones = 5;
constexpr int LayerSets = 1;
constexpr int Experts = 4;

class StoppedClock final : public Clock
{
public:
    SteadyTime steadyNow() const override
    {
        return {};
    }

    WallTime wallNow() const override
    {
        return {};
    }
};

/** Groups of GroupSize engines, one group after the other; the groups alternate between the zones. */
class FleetRanks final : public StubRankControl
{
public:
    explicit FleetRanks(int groups)
    {
        for (int index = 0; index < groups * GroupSize; ++index) {
            targets.push_back({.id = TargetName(std::to_string(index)), .zone = zoneOf(index / GroupSize)});
        }
    }

    static ZoneName zoneOf(int group)
    {
        return ZoneName("zone-" + std::to_string(group % Zones));
    }

    void fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done) override
    {
        const int index = std::stoi(target.id.text());
        ++statusRequests;
        done(RankStatus{.group = GroupName("g" + std::to_string(index / GroupSize)),
                        .epoch = 1,
                        .rank = index % GroupSize,
                        .size = GroupSize,
                        .isOpen = true,
                        .step = 10,
                        .countsLastPolledAgo = countsLastPolledAgo});
    }

    void fetchCounts(const TargetEntry &target, std::function<void(Result<RankCounts>)> done) override
    {
        countedGroups.insert(std::stoi(target.id.text()) / GroupSize);
        done(RankCounts{.epoch = 1, .selectionCounts = std::vector<double>(LayerSets * Experts, 1)});
    }

    std::vector<TargetEntry> targets;
    std::optional<std::chrono::milliseconds> countsLastPolledAgo{100ms};
    int statusRequests = 0;
    std::set<int> countedGroups; ///< groups from whose ranks counts were read
};

/** A process before a fleet, on virtual time. */
class FleetProcess
{
public:
    FleetProcess(FleetRanks &ranks, const ZoneName &zone, double linkBytesPerSecond)
        : m_rebalancer(ranks, {.budget = ControlBudget(zone, linkBytesPerSecond)},
                       {.enginesUpdated = [this](const auto &engines) { updates += static_cast<int>(engines.size()); }},
                       m_clock, [] { return 1; })
    {
        m_rebalancer.setTargets(ranks.targets, {.layerSets = LayerSets, .experts = Experts, .expertSlots = 2}, 120ms);
    }

    ExpertRebalancer &rebalancer()
    {
        return m_rebalancer;
    }

    void run(std::chrono::milliseconds duration, const GroupPredicate &isAssigned)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += 20ms;
            m_rebalancer.setActive(isAssigned, true);
            m_rebalancer.tick(m_now);
        }
    }

    int updates = 0; ///< engines in all updates

private:
    StoppedClock m_clock;
    ExpertRebalancer m_rebalancer;
    SteadyTime m_now{1h};
};

struct PollerRow
{
    const char *name;
    int groups;
    double pollers;
    double maxFarStatusesPerSecond; ///< of all pollers together, at one far rank
};

constexpr double FastLink = 1e8;

const PollerRow PollerRows[] = {
    {"FourGateways", 5, 4, 10},
    {"Fourteen", 5, 14, 10},
    {"NinetyNine", 10, 99, 10},
    {"FiveHundred", 50, 500, 10},
};

class SharedPolling : public testing::TestWithParam<PollerRow>
{
};

// Guards against status requests at one rank that grow with the number of gateways: with 99 of them each far rank got
// 33 a second, and those at which passes are held 250.
TEST_P(SharedPolling, BoundsTheRequestsAtOneFarRank)
{
    const auto &row = GetParam();
    FleetRanks ranks(row.groups);
    FleetProcess process(ranks, ZoneName("elsewhere"), FastLink);
    process.rebalancer().setPollers({.all = row.pollers});
    process.run(2s, noGroup); // each rank is asked once at the start
    ranks.statusRequests = 0;
    constexpr auto duration = 200s;
    process.run(duration, noGroup);
    const double perRank = static_cast<double>(ranks.statusRequests) / static_cast<double>(ranks.targets.size());
    // A span holds one request more than there are periods in it.
    EXPECT_LE((perRank - 1) * row.pollers / std::chrono::duration<double>(duration).count(),
              row.maxFarStatusesPerSecond);
    EXPECT_GT(ranks.statusRequests, 0);
}

INSTANTIATE_TEST_SUITE_P(All, SharedPolling, testing::ValuesIn(PollerRows),
                         [](const auto &row) { return row.param.name; });

struct NearPollerRow
{
    const char *name;
    double pollersInZone;
    double maxStatusesPerSecond; ///< of all pollers of the zone together, at one rank on average
};

// Each process polls the two ranks at which passes are held at the base period; the bound allows for them.
const NearPollerRow NearPollerRows[] = {
    {"One", 1, 5},
    {"Five", 5, 15},
    {"Twenty", 20, 20},
    {"Hundred", 100, 30},
};

class SharedNearPolling : public testing::TestWithParam<NearPollerRow>
{
};

// Guards against status requests in one zone that grow with its gateways: each of 20 asked 195 engines 2.5 times a
// second.
TEST_P(SharedNearPolling, BoundsTheRequestsAtOneRank)
{
    const auto &row = GetParam();
    FleetRanks ranks(1);
    FleetProcess process(ranks, FleetRanks::zoneOf(0), FastLink);
    process.rebalancer().setPollers({.all = row.pollersInZone * Zones, .inZone = row.pollersInZone});
    process.run(2s, noGroup);
    ranks.statusRequests = 0;
    constexpr auto duration = 100s;
    process.run(duration, noGroup);
    const double perRank = static_cast<double>(ranks.statusRequests) / static_cast<double>(ranks.targets.size());
    EXPECT_LE(perRank * row.pollersInZone / std::chrono::duration<double>(duration).count(), row.maxStatusesPerSecond);
    EXPECT_GT(ranks.statusRequests, 0);
}

INSTANTIATE_TEST_SUITE_P(All, SharedNearPolling, testing::ValuesIn(NearPollerRows),
                         [](const auto &row) { return row.param.name; });

// Guards against statuses of a small site that are older than they need be: bounded for a large fleet alone, those of
// far ranks were asked for half as often by four gateways as before.
TEST(SharedStatusPeriods, LeaveFourProcessesTheUsualPeriod)
{
    EXPECT_LE(ControlBudget::sharedStatusPeriod(4), ExpertRebalancerOptions{}.statusPeriod);
}

// Guards against updates that copy all engines each time one of them reports, 50 times a second.
TEST(EngineUpdates, HoldOnlyTheEnginesThatHaveReported)
{
    FleetRanks ranks(10);
    FleetProcess process(ranks, FleetRanks::zoneOf(0), FastLink);
    process.run(2s, noGroup);
    ranks.statusRequests = 0;
    process.updates = 0;
    process.run(20s, noGroup);
    EXPECT_EQ(process.updates, ranks.statusRequests);
}

// Guards against a process that does not know whether the groups of a service are too many for it.
TEST(GroupAssignments, TellTheSizeOfTheService)
{
    FleetRanks ranks(3);
    FleetProcess process(ranks, FleetRanks::zoneOf(0), FastLink);
    std::set<std::size_t> sizes;
    process.run(1s, [&sizes](const GroupToAssign &group) {
        sizes.insert(group.serviceRanks);
        return false;
    });
    EXPECT_EQ(sizes, std::set<std::size_t>{3 * GroupSize});
}

// Guards against one process that keeps the maps of all groups of a service, whatever their number.
TEST(GroupAssignments, DivideTheGroupsOfAService)
{
    FleetRanks ranks(10);
    FleetProcess process(ranks, FleetRanks::zoneOf(0), FastLink);
    process.run(5s, [](const GroupToAssign &group) { return group.name == GroupName("g3"); });
    EXPECT_EQ(ranks.countedGroups, std::set<int>{3});
}

// Guards against two processes that keep the maps of a group for half a minute: one that has lost its share of the work
// stayed, since nobody else had read the group's demand when it had the share.
TEST(GroupAssignments, EndWithTheShareOfTheWork)
{
    FleetRanks ranks(1);
    FleetProcess process(ranks, FleetRanks::zoneOf(0), FastLink);
    ranks.countsLastPolledAgo = 10s;
    process.run(2s, [](const GroupToAssign &) { return true; });
    ranks.countsLastPolledAgo = 100ms; // by this process
    process.run(1s, [](const GroupToAssign &) { return true; });
    process.run(1s, [](const GroupToAssign &group) { return group.isUnattended; });
    ranks.countedGroups.clear();
    process.run(5s, [](const GroupToAssign &group) { return group.isUnattended; });
    EXPECT_EQ(ranks.countedGroups, std::set<int>{});
}

struct HomeRow
{
    const char *name;
    std::optional<std::chrono::milliseconds> countsLastPolledAgo;
    std::set<int> countedGroups; ///< by a process of the zone of groups 0 and 5 that takes unattended groups as well
};

const HomeRow HomeRows[] = {
    {"OthersAttendTheRest", 100ms, {0, 5}},
    {"UnknownCountsAsAttended", std::nullopt, {0, 5}},
    {"NobodyAttends", 10s, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}},
};

class HomeZones : public testing::TestWithParam<HomeRow>
{
};

// Guards against counts that are read across zones although the zone of the group has a process for that, and against
// groups that nobody keeps because their zone has none.
TEST_P(HomeZones, ComeFirstAmongTheProcesses)
{
    FleetRanks ranks(10);
    ranks.countsLastPolledAgo = GetParam().countsLastPolledAgo;
    const auto zone = FleetRanks::zoneOf(0);
    FleetProcess process(ranks, zone, FastLink);
    process.run(10s, [zone](const GroupToAssign &group) { return group.homeZone == zone || group.isUnattended; });
    EXPECT_EQ(ranks.countedGroups, GetParam().countedGroups);
}

INSTANTIATE_TEST_SUITE_P(All, HomeZones, testing::ValuesIn(HomeRows), [](const auto &row) { return row.param.name; });

} // namespace
