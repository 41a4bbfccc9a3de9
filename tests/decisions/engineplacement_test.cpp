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

/** Two groups of eight engines with even loads; the engines of each stand in turn. */
struct EngineWorld
{
    std::vector<EngineCandidate> engines{};
    std::vector<EngineGroup> groups{};
};

EngineWorld worldOf(double loadA, EngineGroup groupA, double loadB, EngineGroup groupB)
{
    EngineWorld world{.groups = {groupA, groupB}};
    for (int rank = 0; rank < 8; ++rank) {
        world.engines.push_back({.target = {.load = loadA, .slots = Batch}, .group = 0});
        world.engines.push_back({.target = {.load = loadB, .slots = Batch}, .group = 1});
    }
    return world;
}

EngineWorld changed(EngineWorld world, void (*change)(EngineWorld &))
{
    change(world);
    return world;
}

constexpr EngineGroup Open{};
constexpr EngineGroup Crowded{.hasRoom = false};
constexpr EngineGroup Lost{.hasRoom = false, .cannotBeOnTime = true};

struct StreamRow
{
    const char *story;
    EngineWorld world;
    Urgency urgency;
    std::optional<std::size_t> group; ///< that takes the stream
    bool isFull = false;
    std::optional<std::size_t> spared{}; ///< an engine that must not take it
};

void closeFirstGroup(EngineWorld &world)
{
    for (auto &engine : world.engines) {
        engine.isOpen = engine.group != 0;
    }
}

void closeAll(EngineWorld &world)
{
    for (auto &engine : world.engines) {
        engine.isOpen = false;
    }
}

/** An engine of the first group takes so many times as long, and has no request. */
template<int SlewRateLimiter>
void slowEngine(EngineWorld &world)
{
    world.engines[0].pace = SlewRateLimiter;
    world.engines[0].target.load = 0;
}

const StreamRow StreamRows[] = {
    {"a group with room", worldOf(4, Crowded, 6, Open), Urgency::Timely, 1},
    {"not to a busy engine of it",
     changed(worldOf(4, Open, 4, Crowded), [](auto &world) { world.engines[0].target.load = 6; }), Urgency::Timely, 0,
     false, 0},
    // One rank of a group takes four times as long, so all its streams are late. Spread by load alone, more and more
    // streams go to the other group until its streams are late as well.
    {"not to a group with slow passes while the other is on time", worldOf(4, Open, 1, Lost), Urgency::Timely, 0},
    // Late streams were kept in the slow group whatever room the other had, and made its passes longer still.
    {"nor one that is late", worldOf(4, Open, 1, Lost), Urgency::Late, 0},
    {"what is late goes to the slow group when the other is crowded", worldOf(4, Crowded, 8, Lost), Urgency::Late, 1},
    {"until that is full", worldOf(4, Crowded, Batch, Lost), Urgency::Late, std::nullopt, true},
    // A group holds all that it can serve within the promised pauses. One stream more makes each of them late, and they
    // stay late: the group is hardly faster then than streams come.
    {"none into a crowded group", worldOf(4, Crowded, 4, Crowded), Urgency::Timely, std::nullopt, true},
    {"nor a late one", worldOf(4, Crowded, 4, Crowded), Urgency::Late, std::nullopt, true},
    {"a stream that its caller has a part of goes on at once", worldOf(4, Crowded, 3, Crowded), Urgency::Begun, 1},
    {"but not behind full batches", worldOf(Batch, Crowded, Batch, Crowded), Urgency::Begun, std::nullopt, true},
    {"a timely stream waits rather than be late in a lost group", worldOf(4, Crowded, 1, Lost), Urgency::Timely,
     std::nullopt, true},
    // A group whose rank has died refuses at once and so looks idle: every stream went there first.
    {"not to a group that is closed", changed(worldOf(0, Open, 5, Open), closeFirstGroup), Urgency::Timely, 1},
    {"not to a group that stands still",
     changed(worldOf(0, Open, 5, Open), [](auto &world) { world.groups[0].isStalled = true; }), Urgency::Timely, 1},
    // One rank takes twelve times as long as it should. Without a request it looks idle, so each new stream went there
    // first, and while it read the prompt its whole group stood still for 170 ms: every stream of the group was late.
    {"not to a slow engine for being idle", changed(worldOf(4, Open, 9, Crowded), slowEngine<12>), Urgency::Timely, 0,
     false, 0},
    {"nor a late one, while its group is on time", changed(worldOf(4, Crowded, 9, Crowded), slowEngine<4>),
     Urgency::Late, std::nullopt, true, 0},
    {"a late one when its group waits for it anyway and the others are full",
     changed(worldOf(Batch, Lost, 9, Crowded), slowEngine<4>), Urgency::Late, 0},
    {"engines that are all slow are alike",
     changed(worldOf(4, Open, 9, Crowded),
             [](auto &world) {
                 for (auto &engine : world.engines) {
                     engine.pace = 1.6;
                 }
             }),
     Urgency::Timely, 0},
    {"what is late takes no room that a jump of demand would need",
     worldOf(4, {.hasRoomForLate = false, .room = 20}, 9, {.hasRoomForLate = false, .room = 1}), Urgency::Late,
     std::nullopt, true},
    {"a timely one takes it", worldOf(4, {.hasRoomForLate = false, .room = 20}, 9, Crowded), Urgency::Timely, 0},
    {"an engine that fails is left to streams that are late",
     changed(worldOf(4, Open, 9, Crowded),
             [](auto &world) {
                 for (auto &engine : world.engines) {
                     engine.target.health = engine.group == 0 ? Health::Ejected : Health::Healthy;
                 }
             }),
     Urgency::Timely, std::nullopt, true},
    {"nowhere when all groups are closed", changed(worldOf(0, Open, 0, Open), closeAll), Urgency::Late, std::nullopt},
};

class Streams : public testing::TestWithParam<StreamRow>
{
};

TEST_P(Streams, GoToGroupsThatStayOnTime)
{
    const auto &row = GetParam();
    SeededRandom random(5);
    for (int draw = 0; draw < 20; ++draw) {
        const auto choice = placeStream(row.world.engines, row.world.groups, {.urgency = row.urgency}, random);
        ASSERT_EQ(choice.index.has_value(), row.group.has_value()) << row.story;
        EXPECT_EQ(choice.isFull, row.isFull) << row.story;
        if (choice.index) {
            EXPECT_EQ(row.world.engines[*choice.index].group, *row.group) << row.story;
            EXPECT_NE(choice.index, row.spared) << row.story;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All, Streams, testing::ValuesIn(StreamRows));

// A rank of one group is slow, and the group is on time with a few streams only. Placed by load alone it looks idle,
// gets as many as the other, and all of them have pauses that are just too long.
TEST(Streams, AreSharedByTheRoomThatGroupsHave)
{
    const auto world = worldOf(1, {.room = 4}, 6, {.room = 36});
    SeededRandom random(7);
    int small = 0;
    constexpr int draws = 1'000;
    for (int draw = 0; draw < draws; ++draw) {
        const auto choice = placeStream(world.engines, world.groups, {}, random);
        ASSERT_TRUE(choice.index);
        small += world.engines[*choice.index].group == 0 ? 1 : 0;
    }
    EXPECT_NEAR(small, 0.1 * draws, 0.03 * draws);
}

/** One group of engines, to which entries send streams that last for a while, each knowing what it has sent itself and
 * what all engines said a moment ago. */
class ManyEntries
{
public:
    static constexpr int Engines = 96;
    static constexpr int Entries = 14;
    static constexpr int Slots = 24; ///< more than ever needed: what is looked at is who gets too much

    /** Lets @p rounds pass between two statuses with @p perRound streams from each entry. */
    void run(int rounds, int perRound)
    {
        for (int round = 0; round < rounds; ++round) {
            m_told = m_running;
            for (auto &own : m_sent) {
                own.assign(Engines, 0);
            }
            for (int stream = 0; stream < perRound; ++stream) {
                for (auto &own : m_sent) {
                    send(own);
                }
            }
            m_most = std::max(m_most, *std::max_element(m_running.begin(), m_running.end()));
            endOldest(static_cast<std::size_t>(perRound) * Entries, round);
        }
    }

    /** The most streams that an engine had at a time. */
    int most() const
    {
        return m_most;
    }

private:
    void send(std::vector<int> &own)
    {
        std::vector<EngineCandidate> engines;
        for (std::size_t engine = 0; engine < Engines; ++engine) {
            const double load = m_told[engine] + own[engine];
            engines.push_back({.target = {.load = load, .slots = Slots}});
        }
        const std::vector<EngineGroup> groups{{.room = 1'000}};
        const auto choice = placeStream(engines, groups, {.share = 1.0 / Entries}, m_random);
        ASSERT_TRUE(choice.index);
        ++own[*choice.index];
        ++m_running[*choice.index];
        m_open.push_back(*choice.index);
    }

    void endOldest(std::size_t count, int round)
    {
        constexpr int roundsOfAStream = 3;
        for (std::size_t ended = 0; round >= roundsOfAStream && ended < count; ++ended) {
            --m_running[m_open.front()];
            m_open.pop_front();
        }
    }

    SeededRandom m_random{11};
    std::vector<int> m_running = std::vector<int>(Engines, 0);
    std::vector<int> m_told;
    std::vector<std::vector<int>> m_sent{Entries};
    std::deque<std::size_t> m_open;
    int m_most = 0;
};

// Callers' streams stand in line at some engines while others are idle, and each pass of the group takes as long as the
// fullest needs: all entries send what comes between two statuses to the engines that said last that they were idle.
TEST(Streams, DontAllGoToTheEnginesThatLookedIdle)
{
    constexpr int perRound = 7; // of 14 entries: one for each engine
    ManyEntries entries;
    entries.run(40, perRound);
    // Four rounds' streams are open at a time, four an engine; six is a batch of such engines.
    EXPECT_LE(entries.most(), 10);
}

} // namespace
