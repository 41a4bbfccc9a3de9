#include "heatherridge_state/demand/demandsum.h"
#include "heatherridge_state/demand/demandtable.h"

#include "heatherridge_state/base/randomsource.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

using std::chrono::milliseconds;

const SteadyTime Start = SteadyTime{} + std::chrono::hours(1);
constexpr milliseconds Lifetime{1'500};

std::vector<ServiceDemand> arrivals(double perSecond)
{
    return {{.service = ServiceName("s"), .ranks = {{1, {.arrivalsPerSecond = perSecond}}}}};
}

/** A statement that arrives at the table. */
struct Statement
{
    const char *gateway;
    std::uint64_t run = 1;
    std::uint64_t sequence = 1;
    double arrivalsPerSecond = 0;
    milliseconds at{0};
    bool isLeaving = false;
};

struct TableRow
{
    const char *story;
    std::vector<Statement> statements;
    const char *asking; ///< the gateway that the sum leaves out
    milliseconds at; ///< time of the sum
    int gateways;
    double arrivalsPerSecond;
    milliseconds age{0};
};

const TableRow TableRows[] = {
    {"no statements", {}, "", milliseconds(0), 0, 0},
    {"sum of two gateways",
     {{.gateway = "a", .arrivalsPerSecond = 3}, {.gateway = "b", .arrivalsPerSecond = 4, .at = milliseconds(100)}},
     "",
     milliseconds(150),
     2,
     7,
     milliseconds(150)},
    {"without the asking gateway",
     {{.gateway = "a", .arrivalsPerSecond = 3}, {.gateway = "b", .arrivalsPerSecond = 4, .at = milliseconds(100)}},
     "a",
     milliseconds(150),
     1,
     4,
     milliseconds(50)},
    {"a later statement replaces an earlier one",
     {{.gateway = "a", .arrivalsPerSecond = 3},
      {.gateway = "a", .sequence = 2, .arrivalsPerSecond = 5, .at = milliseconds(100)}},
     "",
     milliseconds(100),
     1,
     5},
    {"a delayed earlier statement does not",
     {{.gateway = "a", .sequence = 2, .arrivalsPerSecond = 5},
      {.gateway = "a", .sequence = 1, .arrivalsPerSecond = 3, .at = milliseconds(100)}},
     "",
     milliseconds(100),
     1,
     5,
     milliseconds(100)},
    {"a statement of another run replaces one with a higher number",
     {{.gateway = "a", .run = 1, .sequence = 900, .arrivalsPerSecond = 5},
      {.gateway = "a", .run = 2, .sequence = 1, .arrivalsPerSecond = 3, .at = milliseconds(100)}},
     "",
     milliseconds(100),
     1,
     3},
    {"a statement counts until it expires",
     {{.gateway = "a", .arrivalsPerSecond = 3}},
     "",
     milliseconds(1'499),
     1,
     3,
     milliseconds(1'499)},
    {"an expired statement does not count", {{.gateway = "a", .arrivalsPerSecond = 3}}, "", Lifetime, 0, 0},
    {"a gateway that leaves does not count any more",
     {{.gateway = "a", .arrivalsPerSecond = 3},
      {.gateway = "a", .sequence = 2, .at = milliseconds(100), .isLeaving = true}},
     "",
     milliseconds(100),
     0,
     0},
    {"a delayed statement of a gateway that has left does not count",
     {{.gateway = "a", .sequence = 2, .isLeaving = true},
      {.gateway = "a", .sequence = 1, .arrivalsPerSecond = 3, .at = milliseconds(100)}},
     "",
     milliseconds(100),
     0,
     0},
    {"a gateway that comes back after it has left counts",
     {{.gateway = "a", .sequence = 2, .isLeaving = true},
      {.gateway = "a", .run = 2, .arrivalsPerSecond = 3, .at = milliseconds(100)}},
     "",
     milliseconds(100),
     1,
     3},
};

class DemandTables : public testing::TestWithParam<TableRow>
{
};

TEST_P(DemandTables, AddUpTheStatementsInForce)
{
    const auto &row = GetParam();
    DemandTable table(ZoneName("z"));
    for (const auto &statement : row.statements) {
        table.applyStatement({.gateway = ProcessName(statement.gateway),
                              .run = statement.run,
                              .sequence = statement.sequence,
                              .services = arrivals(statement.arrivalsPerSecond),
                              .isLeaving = statement.isLeaving},
                             Lifetime, Start + statement.at);
    }
    const auto sum = table.ownZone(ProcessName(row.asking), MaxDemandWorkspaces, Start + row.at);
    EXPECT_EQ(sum.gateways, row.gateways) << row.story;
    EXPECT_EQ(sum.age, row.age) << row.story;
    const double total = sum.services.empty() ? 0 : sum.services.front().ranks.at(1).arrivalsPerSecond;
    EXPECT_EQ(total, row.arrivalsPerSecond) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, DemandTables, testing::ValuesIn(TableRows));

struct ZoneRow
{
    const char *story;
    const char *zone;
    milliseconds toldAt; ///< time at which a second sum is told
    milliseconds summedAgo; ///< of the second sum
    milliseconds at; ///< time of the answer
    std::vector<int> gateways; ///< of the sums in the answer
};

// A first sum of zone "b", of 1 gateway, is told at the start, and was calculated 100 ms before. A second, of 2
// gateways, follows.
const ZoneRow ZoneRows[] = {
    {"the more recent sum counts", "b", milliseconds(50), milliseconds(20), milliseconds(50), {2}},
    {"a less recent one is ignored", "b", milliseconds(50), milliseconds(200), milliseconds(50), {1}},
    {"sums of different zones", "c", milliseconds(0), milliseconds(0), milliseconds(0), {1, 2}},
    {"a sum of the own zone is ignored", "z", milliseconds(0), milliseconds(0), milliseconds(0), {1}},
    {"a sum expires", "c", milliseconds(500), milliseconds(0), milliseconds(2'901), {2}},
    {"a sum that has expired already is ignored", "c", milliseconds(0), milliseconds(3'001), milliseconds(0), {1}},
};

class DemandOfOtherZones : public testing::TestWithParam<ZoneRow>
{
};

TEST_P(DemandOfOtherZones, IsTheMostRecentOneTold)
{
    const auto &row = GetParam();
    DemandTable table(ZoneName("z"));
    table.applyZone({.zone = ZoneName("b"), .gateways = 1, .age = milliseconds(300), .summedAgo = milliseconds(100)},
                    Start);
    table.applyZone({.zone = ZoneName(row.zone), .gateways = 2, .age = row.summedAgo, .summedAgo = row.summedAgo},
                    Start + row.toldAt);
    std::vector<int> gateways;
    for (const auto &zone : table.otherZones(Start + row.at)) {
        gateways.push_back(zone.gateways);
    }
    EXPECT_EQ(gateways, row.gateways) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, DemandOfOtherZones, testing::ValuesIn(ZoneRows));

TEST(DemandTables, CountAgesFromTheStatement)
{
    DemandTable table(ZoneName("z"));
    table.applyZone({.zone = ZoneName("b"), .gateways = 1, .age = milliseconds(300), .summedAgo = milliseconds(100)},
                    Start);
    const auto zones = table.otherZones(Start + milliseconds(250));
    ASSERT_EQ(zones.size(), 1U);
    EXPECT_EQ(zones.front().age, milliseconds(550));
    EXPECT_EQ(zones.front().summedAgo, milliseconds(350));
}

// Guards against a sidecar whose memory grows with the names that it is told.
TEST(DemandTables, HoldALimitedNumberOfEntries)
{
    DemandTable table(ZoneName("z"));
    for (std::size_t index = 0; index < DemandTable::MaxGateways + 10; ++index) {
        table.applyStatement({.gateway = ProcessName("g" + std::to_string(index))}, Lifetime,
                             Start + milliseconds(index));
    }
    for (std::size_t index = 0; index < DemandTable::MaxZones + 3; ++index) {
        table.applyZone({.zone = ZoneName("b" + std::to_string(index))}, Start + milliseconds(index));
    }
    const auto end = Start + milliseconds(DemandTable::MaxGateways + 10);
    const auto sum = table.ownZone({}, MaxDemandWorkspaces, end);
    EXPECT_EQ(sum.gateways, static_cast<int>(DemandTable::MaxGateways));
    EXPECT_EQ(sum.age, milliseconds(DemandTable::MaxGateways)) << "the oldest entries are dropped";
    EXPECT_EQ(table.counts().droppedGateways, 10U);
    EXPECT_EQ(table.otherZones(end).size(), DemandTable::MaxZones);
    EXPECT_EQ(table.counts().droppedZones, 3U);
}

TEST(DemandTables, StateTheRangeOfKnownSizes)
{
    DemandTable table(ZoneName("z"));
    for (const double size : {0.0, 0.5, 0.125}) {
        table.applyStatement({.gateway = ProcessName(std::to_string(size)), .size = {.processorShare = size}}, Lifetime,
                             Start);
    }
    const auto sum = table.ownZone({}, MaxDemandWorkspaces, Start);
    EXPECT_EQ(sum.smallestProcessorShare, 0.125);
    EXPECT_EQ(sum.largestProcessorShare, 0.5);
}

/** Returns random demand for some of two services. */
std::vector<ServiceDemand> randomDemand(RandomSource &random)
{
    std::vector<ServiceDemand> demand;
    for (const auto *name : {"s", "t"}) {
        ServiceDemand service{.service = ServiceName(name)};
        for (std::uint64_t index = random.below(3); index > 0; --index) {
            service.ranks[static_cast<int>(random.below(3))] = {.arrivalsPerSecond = 100 * random.fraction(),
                                                                .waiting = static_cast<double>(random.below(5))};
        }
        for (std::uint64_t index = random.below(4); index > 0; --index) {
            service.workspaces.push_back(
                {.workspace = WorkspaceName(std::to_string(index)), .arrivalsPerSecond = 1'000 * random.fraction()});
        }
        if (random.below(3) > 0) {
            demand.push_back(service);
        }
    }
    return demand;
}

// Guards against a remainder of gateways that are gone, which would grow with each statement.
RC_GTEST_PROP(DemandSums, AreTheSameAfterPartsAreRemoved, (std::uint32_t seed))
{
    SeededRandom random(seed);
    DemandSum remaining;
    DemandSum changed;
    std::vector<std::vector<ServiceDemand>> removed;
    for (int part = 0; part < 20; ++part) {
        const auto demand = randomDemand(random);
        changed.add(demand);
        if (random.below(2) == 0) {
            removed.push_back(demand);
        } else {
            remaining.add(demand);
        }
    }
    for (const auto &demand : removed) {
        changed.remove(demand);
    }
    RC_ASSERT(changed.services(MaxDemandWorkspaces) == remaining.services(MaxDemandWorkspaces));
}

// Guards against sums that the next reader rejects because they exceed the limits of a message.
TEST(DemandSums, StayWithinTheLimits)
{
    DemandSum sum;
    for (std::size_t part = 0; part < 3; ++part) {
        for (std::size_t service = 0; service < MaxDemandServices; ++service) {
            ServiceDemand demand{.service = ServiceName(std::to_string(100 * part + service))};
            demand.ranks[static_cast<int>(part)] = {.arrivalsPerSecond = MaxDemandValue};
            sum.add({demand});
        }
        ServiceDemand first{.service = ServiceName("0")};
        for (std::size_t index = 0; index < MaxDemandWorkspaces; ++index) {
            const auto number = part * MaxDemandWorkspaces + index;
            first.workspaces.push_back(
                {.workspace = WorkspaceName(std::to_string(number)), .arrivalsPerSecond = static_cast<double>(number)});
            first.ranks[static_cast<int>(number % (2 * MaxDemandRanks))] = {.arrivalsPerSecond = MaxDemandValue};
        }
        sum.add({first});
    }
    const auto services = sum.services(MaxRelayedWorkspaces);
    ASSERT_EQ(services.size(), MaxDemandServices);
    const auto &first = services.front();
    EXPECT_EQ(first.ranks.size(), MaxDemandRanks);
    EXPECT_EQ(first.ranks.begin()->first, 0) << "the highest ranks are kept";
    EXPECT_EQ(first.ranks.at(0).arrivalsPerSecond, MaxDemandValue);
    ASSERT_EQ(first.workspaces.size(), MaxRelayedWorkspaces);
    EXPECT_EQ(first.workspaces.front().arrivalsPerSecond, 3.0 * MaxDemandWorkspaces - 1) << "busiest first";
}

} // namespace
