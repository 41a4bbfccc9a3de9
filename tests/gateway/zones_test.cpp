#include "heatherridge_transport/direct/gatewaytargets.h"
#include "heatherridge_transport/direct/placementrefusal.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start = SteadyTime{} + 1h;
const ServiceName Service("s");
const ZoneName A("a");
const ZoneName B("b");
const ZoneName Far("far");
const ZoneName Unknown("unknown");
const RegionName Home("home");
const RegionName Abroad("abroad");
const ZoneRegions Regions{{A, Home}, {B, Home}, {Far, Abroad}};

std::vector<TargetEntry> targetsIn(const std::vector<ZoneName> &zones, int perZone = 1)
{
    std::vector<TargetEntry> entries;
    for (const auto &zone : zones) {
        for (int index = 0; index < perZone; ++index) {
            entries.push_back(
                {.id = TargetName(zone.text() + std::to_string(index)), .service = Service, .zone = zone, .slots = 10});
        }
    }
    return entries;
}

RegionRule rule(const std::vector<RegionName> &route, const std::vector<RegionName> &workspace)
{
    RegionRule regions;
    regions.restrictTo(route);
    regions.restrictTo(workspace);
    return regions;
}

struct ZoneRow
{
    const char *name;
    std::vector<ZoneName> zones; ///< one target in each
    std::set<ZoneName> drained;
    std::vector<RegionName> routeRegions;
    std::vector<RegionName> workspaceRegions;
    std::set<ZoneName> used;
    std::optional<NoChoiceReason> reason; ///< if no target may be used
};

const ZoneRow ZoneRows[] = {
    {"NoOrders", {A, B, Far}, {}, {}, {}, {A, B, Far}, {}},
    {"OneZoneDrained", {A, B}, {A}, {}, {}, {B}, {}},
    {"AZoneWithoutTargetsDrained", {A, B}, {Unknown}, {}, {}, {A, B}, {}},
    {"AllZonesDrained", {A, B}, {A, B}, {}, {}, {}, NoChoiceReason::ZonesDrained},
    {"RouteAtHome", {A, Far}, {}, {Home}, {}, {A}, {}},
    {"WorkspaceAtHome", {A, Far}, {}, {}, {Home}, {A}, {}},
    {"BothAtHome", {A, Far}, {}, {Home}, {Home}, {A}, {}},
    {"EitherAllowsMore", {A, Far}, {}, {Home, Abroad}, {Abroad}, {Far}, {}},
    {"NoCommonRegion", {A, Far}, {}, {Home}, {Abroad}, {}, NoChoiceReason::OutsideRegions},
    {"NoTargetAtHome", {Far}, {}, {Home}, {}, {}, NoChoiceReason::OutsideRegions},
    {"ZoneOfUnknownRegion", {Unknown}, {}, {Home}, {}, {}, NoChoiceReason::OutsideRegions},
    {"ZoneOfUnknownRegionWithoutRule", {Unknown}, {}, {}, {}, {Unknown}, {}},
    {"HomeDrained", {A, Far}, {A}, {Home}, {}, {}, NoChoiceReason::ZonesDrained},
    {"NoTargets", {}, {}, {}, {}, {}, NoChoiceReason::NoTarget},
};

class ZoneRules : public testing::TestWithParam<ZoneRow>
{
};

// Guards against requests in a zone that the operator has drained, or in a region that the request does not allow.
TEST_P(ZoneRules, BindEveryPlacement)
{
    const auto &row = GetParam();
    SeededRandom random(7);
    GatewayTargets targets(A, Regions);
    targets.setEntries(targetsIn(row.zones), Start);
    targets.setDrainedZones(row.drained, Start);
    std::set<ZoneName> used;
    std::optional<NoChoiceReason> reason;
    for (int request = 0; request < 200; ++request) {
        const auto choice = targets.choose(
            {.service = Service, .regions = rule(row.routeRegions, row.workspaceRegions)}, Start, random);
        if (choice.target == nullptr) {
            reason = choice.reason;
            break;
        }
        choice.target->load.recordSent();
        used.insert(choice.target->entry.zone);
    }
    EXPECT_EQ(used, row.used);
    EXPECT_EQ(reason, row.reason);
}

INSTANTIATE_TEST_SUITE_P(All, ZoneRules, testing::ValuesIn(ZoneRows), [](const auto &row) { return row.param.name; });

// Guards against a caller that waits although only an operator can help.
TEST(ZoneRefusals, AreGivenAtOnce)
{
    EXPECT_TRUE(isLasting(NoChoiceReason::ZonesDrained));
    EXPECT_TRUE(isLasting(NoChoiceReason::OutsideRegions));
    EXPECT_FALSE(isLasting(NoChoiceReason::AllFull));
    EXPECT_EQ(refusalFor(NoChoiceReason::ZonesDrained, Service, {}).kind, ErrorKind::ZoneDrained);
    EXPECT_EQ(refusalFor(NoChoiceReason::OutsideRegions, Service, {}).kind, ErrorKind::OutsideRegions);
}

constexpr int TargetsPerZone = 21;
constexpr double ColdRate = 32;
constexpr auto WarmUpTime = 3s;

/** A gateway with a sixth of the work before targets in three zones that accept ColdRate while they are cold. */
class ColdZoneLoad : public testing::Test
{
protected:
    void SetUp() override
    {
        m_targets.setServices(
            {.services = {{.name = Service, .warmUpTime = WarmUpTime, .warmUpRequestsPerSecond = ColdRate}}});
        m_targets.setEntries(targetsIn({A, B, Far}, TargetsPerZone), Start);
        confirmShare(Start);
    }

    void confirmShare(SteadyTime now)
    {
        m_targets.setOwnedPartitions(
            {.partitions = {0, 1, 2, 3}, .partitionCount = 24, .validUntil = now + 1'500ms, .lease = 1'500ms}, now);
    }

    /** Sends @p perSecond requests a second that last 600 ms each for @p duration, and counts the most that a target of
     * each zone gets in a second. */
    std::map<ZoneName, int> replay(SteadyTime from, std::chrono::milliseconds duration, int perSecond)
    {
        std::map<TargetName, std::vector<SteadyTime>> sent;
        std::map<ZoneName, int> most;
        for (int request = 0; request < perSecond * duration / 1s; ++request) {
            const auto now = from + request * 1'000ms / perSecond;
            confirmShare(now);
            endRequests(now);
            const auto choice = m_targets.choose({.service = Service}, now, m_random);
            if (choice.target == nullptr) {
                ++m_refused;
                continue;
            }
            choice.target->load.recordSent();
            choice.target->admission.recordSent(now);
            m_running.emplace_back(now + 600ms, choice.target->entry.id);
            auto &times = sent[choice.target->entry.id];
            times.push_back(now);
            const auto inSecond = std::count_if(times.begin(), times.end(), [&](auto at) { return now - at < 1s; });
            auto &zoneMost = most[choice.target->entry.zone];
            zoneMost = std::max(zoneMost, static_cast<int>(inSecond));
        }
        return most;
    }

    void endRequests(SteadyTime now)
    {
        std::erase_if(m_running, [&](const auto &running) {
            if (running.first > now) {
                return false;
            }
            m_targets.find(running.second)->load.recordEnded();
            return true;
        });
    }

    SeededRandom m_random{11};
    GatewayTargets m_targets{A, Regions};
    std::vector<std::pair<SteadyTime, TargetName>> m_running;
    int m_refused = 0;
};

// Guards against a zone that returns cold, looks idle and gets the requests of all three zones in a burst.
TEST_F(ColdZoneLoad, StaysWithinTheShareAndOffTheZoneWhileItIsDrained)
{
    m_targets.setDrainedZones({A}, Start);
    auto most = replay(Start, 5s, 200);
    EXPECT_FALSE(most.contains(A));
    EXPECT_EQ(m_refused, 0) << "the load of the drained zone goes to the others";
    const auto restoredAt = Start + 5s;
    m_targets.setDrainedZones({}, restoredAt);
    most = replay(restoredAt, 3s, 800);
    EXPECT_GT(most[A], 0) << "a cold zone does not stay empty";
    EXPECT_LE(most[A], ColdRate * 4 / 24 + 1);
    EXPECT_EQ(m_refused, 0);
}

// Guards against a cold target that gets requests from a gateway whose share nobody confirms.
TEST_F(ColdZoneLoad, NeedsAConfirmedShare)
{
    auto entries = targetsIn({A}, 1);
    entries.front().remainingWarmUp = WarmUpTime;
    entries.front().startedAt += 1s;
    const auto now = Start + 10s; // the share was confirmed at Start
    m_targets.setEntries(entries, now);
    const auto choice = m_targets.choose({.service = Service}, now, m_random);
    EXPECT_EQ(choice.target, nullptr);
    EXPECT_EQ(choice.reason, NoChoiceReason::AllHeldBack);
    EXPECT_EQ(choice.heldFor, WarmUpTime);
    EXPECT_NE(m_targets.choose({.service = Service}, now + WarmUpTime, m_random).target, nullptr);
}

} // namespace
