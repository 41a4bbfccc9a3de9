#include "heatherridge_state/decisions/engineplacement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include <optional>
#include <vector>

using namespace Heatherridge;

namespace
{

constexpr int Batch = 12;

/** Two groups of eight engines with even loads; the engines of the two groups alternate. */
struct EngineFleet
{
    std::vector<EngineCandidate> engines{};
    std::vector<EngineGroup> groups{};
};

EngineFleet makeFleet(double loadA, EngineGroup groupA, double loadB, EngineGroup groupB)
{
    EngineFleet fleet{.groups = {groupA, groupB}};
    for (int rank = 0; rank < 8; ++rank) {
        fleet.engines.push_back({.target = {.load = loadA, .slots = Batch}, .group = 0});
        fleet.engines.push_back({.target = {.load = loadB, .slots = Batch}, .group = 1});
    }
    return fleet;
}

EngineFleet withChange(EngineFleet fleet, void (*change)(EngineFleet &))
{
    change(fleet);
    return fleet;
}

constexpr EngineGroup WithHeadroom{};
constexpr EngineGroup WithoutHeadroom{.hasHeadroom = false};
constexpr EngineGroup AlwaysLate{.hasHeadroom = false, .cannotBeOnTime = true};

struct PlacementCase
{
    const char *description;
    EngineFleet fleet;
    Urgency urgency;
    std::optional<std::size_t> group; ///< expected group of the chosen engine
    bool isFull = false;
    std::optional<std::size_t> excludedEngine{}; ///< an engine that must not be chosen
};

void closeFirstGroup(EngineFleet &fleet)
{
    for (auto &engine : fleet.engines) {
        engine.isOpen = engine.group != 0;
    }
}

void closeAll(EngineFleet &fleet)
{
    for (auto &engine : fleet.engines) {
        engine.isOpen = false;
    }
}

/** Makes the first engine of the first group slower by the given factor and removes its requests. */
template<int Slowdown>
void slowFirstEngine(EngineFleet &fleet)
{
    fleet.engines[0].slowdown = Slowdown;
    fleet.engines[0].target.load = 0;
}

const PlacementCase PlacementCases[] = {
    {"chooses the group with headroom", makeFleet(4, WithoutHeadroom, 6, WithHeadroom), Urgency::OnTime, 1},
    {"avoids a busy engine of the chosen group",
     withChange(makeFleet(4, WithHeadroom, 4, WithoutHeadroom), [](auto &fleet) { fleet.engines[0].target.load = 6; }),
     Urgency::OnTime, 0, false, 0},
    // One rank of a group takes four times as long, so all streams of the group are late. If streams are spread by load
    // alone, more and more of them go to the other group until its streams are late as well.
    {"avoids a group with slow passes while the other group is on time", makeFleet(4, WithHeadroom, 1, AlwaysLate),
     Urgency::OnTime, 0},
    // Late streams stayed in the slow group whatever headroom the other group had, and made its passes even longer.
    {"sends a late stream to the group that is on time as well", makeFleet(4, WithHeadroom, 1, AlwaysLate),
     Urgency::Late, 0},
    {"sends a late stream to the slow group when the other has no headroom",
     makeFleet(4, WithoutHeadroom, 8, AlwaysLate), Urgency::Late, 1},
    {"refuses a late stream when the slow group is full too", makeFleet(4, WithoutHeadroom, Batch, AlwaysLate),
     Urgency::Late, std::nullopt, true},
    // A group holds all the streams that it can serve within the promised pauses. One more stream makes each of them
    // late, and they stay late: the group then serves streams hardly faster than they arrive.
    {"refuses a timely stream when no group has headroom", makeFleet(4, WithoutHeadroom, 4, WithoutHeadroom),
     Urgency::OnTime, std::nullopt, true},
    {"refuses a late stream when no group has headroom", makeFleet(4, WithoutHeadroom, 4, WithoutHeadroom),
     Urgency::Late, std::nullopt, true},
    {"resumes a stream of which the caller has a part without headroom",
     makeFleet(4, WithoutHeadroom, 3, WithoutHeadroom), Urgency::InProgress, 1},
    {"does not resume a stream when all batches are full", makeFleet(Batch, WithoutHeadroom, Batch, WithoutHeadroom),
     Urgency::InProgress, std::nullopt, true},
    {"refuses a timely stream that would be late in the slow group", makeFleet(4, WithoutHeadroom, 1, AlwaysLate),
     Urgency::OnTime, std::nullopt, true},
    // A group with a dead rank refuses at once and therefore looks idle: every stream went there first.
    {"avoids a closed group", withChange(makeFleet(0, WithHeadroom, 5, WithHeadroom), closeFirstGroup), Urgency::OnTime,
     1},
    {"avoids a stalled group",
     withChange(makeFleet(0, WithHeadroom, 5, WithHeadroom), [](auto &fleet) { fleet.groups[0].isStalled = true; }),
     Urgency::OnTime, 1},
    // One rank takes twelve times as long as it should. Without a request it looks idle, so each new stream went there
    // first, and while it read the prompt its whole group stalled for 170 ms: every stream of the group was late.
    {"avoids a slow engine although it is idle",
     withChange(makeFleet(4, WithHeadroom, 9, WithoutHeadroom), slowFirstEngine<12>), Urgency::OnTime, 0, false, 0},
    {"refuses a late stream at a slow engine while its group is on time",
     withChange(makeFleet(4, WithoutHeadroom, 9, WithoutHeadroom), slowFirstEngine<4>), Urgency::Late, std::nullopt,
     true, 0},
    {"places a late stream on a slow engine of a late group when the others are full",
     withChange(makeFleet(Batch, AlwaysLate, 9, WithoutHeadroom), slowFirstEngine<4>), Urgency::Late, 0},
    {"treats engines alike when all of them are slow",
     withChange(makeFleet(4, WithHeadroom, 9, WithoutHeadroom),
                [](auto &fleet) {
                    for (auto &engine : fleet.engines) {
                        engine.slowdown = 1.6;
                    }
                }),
     Urgency::OnTime, 0},
    {"keeps headroom for a jump of demand from late streams",
     makeFleet(4, {.hasHeadroomForLate = false, .headroom = 20}, 9, {.hasHeadroomForLate = false, .headroom = 1}),
     Urgency::Late, std::nullopt, true},
    {"lets a timely stream use headroom kept from late ones",
     makeFleet(4, {.hasHeadroomForLate = false, .headroom = 20}, 9, WithoutHeadroom), Urgency::OnTime, 0},
    {"refuses a timely stream when all engines of the group fail",
     withChange(makeFleet(4, WithHeadroom, 9, WithoutHeadroom),
                [](auto &fleet) {
                    for (auto &engine : fleet.engines) {
                        engine.target.health = engine.group == 0 ? Health::Ejected : Health::Healthy;
                    }
                }),
     Urgency::OnTime, std::nullopt, true},
    {"chooses none when all groups are closed", withChange(makeFleet(0, WithHeadroom, 0, WithHeadroom), closeAll),
     Urgency::Late, std::nullopt},
};

class StreamPlacement : public testing::TestWithParam<PlacementCase>
{
};

TEST_P(StreamPlacement, ChoosesSuitableGroups)
{
    const auto &row = GetParam();
    SeededRandom random(5);
    for (int draw = 0; draw < 20; ++draw) {
        const auto choice = placeStream(row.fleet.engines, row.fleet.groups, {.urgency = row.urgency}, random);
        ASSERT_EQ(choice.index.has_value(), row.group.has_value()) << row.description;
        EXPECT_EQ(choice.isFull, row.isFull) << row.description;
        if (choice.index) {
            EXPECT_EQ(row.fleet.engines[*choice.index].group, *row.group) << row.description;
            EXPECT_NE(choice.index, row.excludedEngine) << row.description;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All, StreamPlacement, testing::ValuesIn(PlacementCases));

// A rank of one group is slow, and the group is on time only with a few streams. Placement by load alone takes it for
// idle and sends it as many streams as the other group, so that all of them have pauses slightly too long.
TEST(StreamPlacement, IsProportionalToGroupHeadroom)
{
    const auto fleet = makeFleet(1, {.headroom = 4}, 6, {.headroom = 36});
    SeededRandom random(7);
    int firstGroupStreams = 0;
    constexpr int draws = 1'000;
    for (int draw = 0; draw < draws; ++draw) {
        const auto choice = placeStream(fleet.engines, fleet.groups, {}, random);
        ASSERT_TRUE(choice.index);
        firstGroupStreams += fleet.engines[*choice.index].group == 0 ? 1 : 0;
    }
    EXPECT_NEAR(firstGroupStreams, 0.1 * draws, 0.03 * draws);
}

/**
 * One group of engines, to which entries send streams that last for a while. Each entry knows only what it has sent
 * itself and the last reported status of all engines.
 */
class ManyEntries
{
public:
    static constexpr int Engines = 96;
    static constexpr int Entries = 14;
    static constexpr int Slots = 24; ///< more than ever needed: the test looks at the most loaded engine

    /** Simulates @p rounds intervals between two statuses with @p perRound streams from each entry. */
    void run(int rounds, int perRound)
    {
        for (int round = 0; round < rounds; ++round) {
            m_reported = m_running;
            for (auto &own : m_sent) {
                own.assign(Engines, 0);
            }
            for (int stream = 0; stream < perRound; ++stream) {
                for (auto &own : m_sent) {
                    send(own);
                }
            }
            m_maxStreams = std::max(m_maxStreams, *std::max_element(m_running.begin(), m_running.end()));
            endOldest(static_cast<std::size_t>(perRound) * Entries, round);
        }
    }

    /** Returns the highest number of concurrent streams at any engine. */
    int maxStreamsPerEngine() const
    {
        return m_maxStreams;
    }

private:
    void send(std::vector<int> &own)
    {
        std::vector<EngineCandidate> engines;
        for (std::size_t engine = 0; engine < Engines; ++engine) {
            const double load = m_reported[engine] + own[engine];
            engines.push_back({.target = {.load = load, .slots = Slots}});
        }
        const std::vector<EngineGroup> groups{{.headroom = 1'000}};
        const auto choice = placeStream(engines, groups, {.share = 1.0 / Entries}, m_random);
        ASSERT_TRUE(choice.index);
        ++own[*choice.index];
        ++m_running[*choice.index];
        m_open.push_back(*choice.index);
    }

    void endOldest(std::size_t count, int round)
    {
        constexpr int roundsPerStream = 3;
        for (std::size_t ended = 0; round >= roundsPerStream && ended < count; ++ended) {
            --m_running[m_open.front()];
            m_open.pop_front();
        }
    }

    SeededRandom m_random{11};
    std::vector<int> m_running = std::vector<int>(Engines, 0);
    std::vector<int> m_reported;
    std::vector<std::vector<int>> m_sent{Entries};
    std::deque<std::size_t> m_open;
    int m_maxStreams = 0;
};

// Guards against herding: all entries send the streams that arrive between two statuses to the engines last reported
// idle. Streams then queue at some engines while others are idle, and each pass of the group takes as long as the
// fullest engine needs.
TEST(StreamPlacement, AvoidsHerdingToIdleEngines)
{
    constexpr int perRound = 7; // of 14 entries: one for each engine
    ManyEntries entries;
    entries.run(40, perRound);
    // The streams of four rounds are open at a time, four per engine; the batch size of such engines is six.
    EXPECT_LE(entries.maxStreamsPerEngine(), 10);
}

struct ZoneCase
{
    const char *name;
    int zones;
    double ownLoad; ///< of each engine of the entry's own zone
    double otherLoad;
    bool ownZoneHasHeadroom;
    double minOwnShare; ///< of the streams that stay in the own zone
    double maxOwnShare;
};

const ZoneCase ZoneCases[] = {
    {"EvenLoad", 5, 1, 1, true, 0.99, 1},     {"OwnZoneALittleBusier", 5, 1.5, 1, true, 0.99, 1},
    {"OwnZoneBusier", 5, 3, 1, true, 0, 0.3}, {"OwnZoneIdle", 5, 0, 5, true, 0.99, 1},
    {"OwnZoneFull", 5, 1, 1, false, 0, 0},    {"AtTwiceTheZones", 10, 1, 1, true, 0.99, 1},
    {"OneZone", 1, 5, 0, true, 1, 1},
};

class ZonedGroups : public testing::TestWithParam<ZoneCase>
{
};

// Guards against streams that cross zones because their group was drawn without regard to zones: with a group in each
// of five zones, four of five did.
TEST_P(ZonedGroups, KeepStreamsInTheZoneWhileItIsNotBusier)
{
    const auto &zoneCase = GetParam();
    constexpr int ranks = 32;
    EngineFleet fleet;
    for (int zone = 0; zone < zoneCase.zones; ++zone) {
        const bool isOwn = zone == 0;
        fleet.groups.push_back({.hasHeadroom = !isOwn || zoneCase.ownZoneHasHeadroom, .headroom = 100});
        for (int rank = 0; rank < ranks; ++rank) {
            const double load = isOwn ? zoneCase.ownLoad : zoneCase.otherLoad;
            fleet.engines.push_back({.target = {.load = load, .slots = Batch, .isInOwnZone = isOwn},
                                     .group = static_cast<std::size_t>(zone)});
        }
    }
    SeededRandom random(9);
    constexpr int streams = 1'000;
    int inOwnZone = 0;
    for (int stream = 0; stream < streams; ++stream) {
        const auto choice = placeStream(fleet.engines, fleet.groups, {.share = 0.01}, random);
        ASSERT_TRUE(choice.index);
        inOwnZone += fleet.engines[*choice.index].target.isInOwnZone ? 1 : 0;
    }
    EXPECT_GE(inOwnZone, zoneCase.minOwnShare * streams);
    EXPECT_LE(inOwnZone, zoneCase.maxOwnShare * streams);
}

INSTANTIATE_TEST_SUITE_P(All, ZonedGroups, testing::ValuesIn(ZoneCases),
                         [](const auto &row) { return row.param.name; });

// Guards against groups that get the streams of one zone alone because a few of their ranks are in it: the large day of
// a deployment of two groups of eight over three zones fell.
TEST(GroupsOverZones, GetStreamsByHeadroomAlone)
{
    constexpr int ranks = 8;
    EngineFleet fleet{.groups = {{.headroom = 100}, {.headroom = 100}}};
    for (int rank = 0; rank < 2 * ranks; ++rank) {
        // The first five ranks, all of the first group, are in the own zone.
        fleet.engines.push_back({.target = {.load = 1, .slots = Batch, .isInOwnZone = rank < 5},
                                 .group = static_cast<std::size_t>(rank / ranks)});
    }
    SeededRandom random(9);
    constexpr int streams = 1'000;
    int inFirstGroup = 0;
    for (int stream = 0; stream < streams; ++stream) {
        const auto choice = placeStream(fleet.engines, fleet.groups, {.share = 0.25}, random);
        ASSERT_TRUE(choice.index);
        inFirstGroup += fleet.engines[*choice.index].group == 0 ? 1 : 0;
    }
    EXPECT_NEAR(inFirstGroup, streams * 0.5, streams * 0.1);
}

} // namespace
