#include "heatherridge_coordination/config/publisher.h"
#include "heatherridge_coordination/config/snapshotwriter.h"
#include "heatherridge_protocol/controlrecordcodec.h"
#include "support/fakelog.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

constexpr std::chrono::milliseconds Step{50};

std::string workspace(const std::string &name, int weight)
{
    return "[workspace." + name + "]\nweight = " + std::to_string(weight) + "\n";
}

Bytes change(const std::string &operation, LogOffset basedOn, int weight)
{
    return encodeControlRecord(Publish{.document = DocumentKind::Rules,
                                       .operation = OperationId(operation),
                                       .basedOn = basedOn,
                                       .content = DocumentChange{workspace("mill", weight), {}}});
}

/** Appends @p count accepted changes to @p log. */
void putChanges(FakeLog &log, int count)
{
    for (int i = 0; i < count; ++i) {
        const auto last = log.last(ControlStream);
        log.put(ControlStream, change("op-" + std::to_string(toNumber(last)), last, i + 1));
    }
}

/** One process that follows the log and may write snapshots. */
struct Process
{
    explicit Process(FakeLog &log)
        : follower(log, replica, random)
        , writer(log, random, {.recordsBetweenSnapshots = 20})
    {
    }

    SeededRandom random{7};
    ConfigReplica replica;
    LogFollower follower;
    SnapshotWriter writer;
};

/** Virtual time, a log, and whatever ticks. */
struct World
{
    template<typename... Ticking>
    void run(std::chrono::milliseconds span, Ticking &...ticking)
    {
        for (const auto end = now + span; now < end; now += Step) {
            (ticking.tick(now), ...);
            log.run(now);
        }
    }

    FakeLog log;
    SteadyTime now{};
};

enum class Trouble { None, Out, Slow, ReplyLost, AppendDropped, TwoRepliesLost };

struct PublishRow
{
    const char *story;
    Trouble trouble;
    bool troubleEnds;
    std::size_t expected; ///< index of the result's alternative
};

constexpr std::size_t Accepted = 0;
constexpr std::size_t NotSent = 5;
constexpr std::size_t Unknown = 6;

const PublishRow PublishRows[] = {
    {"nothing is wrong", Trouble::None, true, Accepted},
    {"the log is out and comes back", Trouble::Out, true, Accepted},
    {"the log is out for longer than the operator waits", Trouble::Out, false, NotSent},
    {"the log takes two seconds for each answer", Trouble::Slow, false, Accepted},
    {"the append took effect and its reply was lost", Trouble::ReplyLost, true, Accepted},
    {"so did the second one", Trouble::TwoRepliesLost, true, Accepted},
    {"the append was lost on its way", Trouble::AppendDropped, true, Accepted},
};

class PublishUnderTrouble : public testing::TestWithParam<PublishRow>
{
};

// The log fails around an operator's publish. Whatever the operator is told must be what the readers fold: "accepted"
// for a publish that no reader has is a change that never comes; a doubled one could take a colleague's change back.
TEST_P(PublishUnderTrouble, TheOperatorIsToldWhatTheReadersFold)
{
    const auto &row = GetParam();
    World world;
    putChanges(world.log, 5);
    world.log.isOut = row.trouble == Trouble::Out;
    world.log.delay = std::chrono::milliseconds(row.trouble == Trouble::Slow ? 2000 : 0);
    world.log.loseReplies = row.trouble == Trouble::ReplyLost ? 1 : row.trouble == Trouble::TwoRepliesLost ? 2 : 0;
    world.log.dropAppends = row.trouble == Trouble::AppendDropped ? 1 : 0;
    SeededRandom random(1);
    Publisher publisher(
        world.log, random,
        {.document = DocumentKind::Rules, .operation = OperationId("mine"), .text = workspace("yard", 2)});
    world.run(std::chrono::seconds(10), publisher);
    if (row.troubleEnds) {
        world.log.isOut = false;
    }
    world.run(std::chrono::seconds(25), publisher);
    ASSERT_TRUE(publisher.result()) << row.story;
    EXPECT_EQ(publisher.result()->index(), row.expected) << row.story;

    world.log.isOut = false;
    Process reader(world.log);
    world.run(std::chrono::seconds(10), reader.follower);
    ASSERT_TRUE(reader.replica.isConfirmed());
    const auto *outcome = reader.replica.state().outcomeOf(OperationId("mine"));
    if (row.expected == Accepted) {
        ASSERT_NE(outcome, nullptr) << row.story;
        EXPECT_EQ(outcome->decidedAt, std::get<PublishAccepted>(*publisher.result()).offset) << row.story;
        EXPECT_NE(reader.replica.state().rules()->find(WorkspaceName("yard")), nullptr) << row.story;
    } else {
        EXPECT_EQ(outcome, nullptr) << row.story;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, PublishUnderTrouble, testing::ValuesIn(PublishRows));

// The log goes out just as it takes the append: the command cannot know. Run again with the same operation id, it
// finds the first append and says so, in place of publishing a second time.
TEST(Publisher, AnUnknownOutcomeIsSettledByRunningAgainWithTheOperation)
{
    World world;
    putChanges(world.log, 3);
    SeededRandom random(1);
    const PublishRequest request{
        .document = DocumentKind::Rules, .operation = OperationId("mine"), .text = workspace("yard", 2)};
    Publisher first(world.log, random, request);
    world.log.loseReplies = 1;
    while (first.counters().appends == 0) {
        world.run(Step);
        first.tick(world.now);
    }
    world.log.isOut = true;
    world.run(std::chrono::seconds(31), first);
    ASSERT_TRUE(first.result());
    ASSERT_EQ(first.result()->index(), Unknown);
    world.log.isOut = false;
    putChanges(world.log, 2);
    Publisher second(world.log, random, request);
    world.run(std::chrono::seconds(5), second);
    ASSERT_TRUE(second.result());
    ASSERT_EQ(second.result()->index(), Accepted);
    EXPECT_EQ(std::get<PublishAccepted>(*second.result()).offset, LogOffset{4});
    EXPECT_EQ(second.counters().appends, 0U);
}

// Five operators publish the same section at the same moment. One of them wins; each of the others is told so by name.
TEST(Publisher, OfFiveRacingOperatorsOneWinsAndFourAreToldWhoDid)
{
    World world;
    putChanges(world.log, 1);
    SeededRandom random(1);
    std::vector<std::unique_ptr<Publisher>> operators;
    operators.reserve(5);
    for (int i = 0; i < 5; ++i) {
        operators.push_back(
            std::make_unique<Publisher>(world.log, random,
                                        PublishRequest{.document = DocumentKind::Rules,
                                                       .operation = OperationId("operator-" + std::to_string(i)),
                                                       .basedOn = LogOffset{1},
                                                       .text = workspace("mill", 10 + i)}));
    }
    for (int i = 0; i < 100; ++i) {
        for (auto &publisher : operators) {
            publisher->tick(world.now);
        }
        world.run(Step);
    }
    int accepted = 0;
    for (auto &publisher : operators) {
        ASSERT_TRUE(publisher->result());
        if (publisher->result()->index() == Accepted) {
            ++accepted;
        } else {
            const auto &refused = std::get<PublishRefused>(*publisher->result());
            EXPECT_EQ(refused.refusal.reason, RefusalReason::Conflict);
            EXPECT_EQ(refused.refusal.conflictsWith, OperationId("operator-0"));
        }
    }
    EXPECT_EQ(accepted, 1);
}

// All records that a newcomer needs have expired; only the snapshots are left.
TEST(Snapshots, ANewcomerNeedsTheLastSnapshotAndWhatFollows)
{
    World world;
    putChanges(world.log, 30);
    Process old(world.log);
    world.run(std::chrono::seconds(5), old.follower);
    old.writer.tick(world.now, old.replica, 0);
    world.run(std::chrono::seconds(5), old.follower);
    ASSERT_EQ(old.writer.counters().written, 1U);
    EXPECT_EQ(old.replica.state().snapshot().covers, LogOffset{30});
    putChanges(world.log, 5);
    world.log.expireBelow(ControlStream, LogOffset{31});
    world.run(std::chrono::seconds(5), old.follower);
    Process newcomer(world.log);
    world.run(std::chrono::seconds(5), newcomer.follower);
    EXPECT_TRUE(newcomer.replica.isConfirmed());
    EXPECT_EQ(newcomer.replica.state().digest(), old.replica.state().digest());
}

// Two processes notice at once that a snapshot is due, and a third one dies half-way. Newcomers must not care.
TEST(Snapshots, DoubledOnesAreHarmlessAndATornOneIsPassedOver)
{
    World world;
    putChanges(world.log, 30);
    Process one(world.log);
    Process two(world.log);
    world.run(std::chrono::seconds(5), one.follower, two.follower);
    one.writer.tick(world.now, one.replica, 0);
    two.writer.tick(world.now, two.replica, 0);
    world.run(std::chrono::seconds(5), one.follower, two.follower);
    EXPECT_EQ(world.log.last(SnapshotStream), LogOffset{2});
    EXPECT_EQ(one.replica.state().skipped(SkipReason::Doubled), 1U);
    putChanges(world.log, 1);
    const auto torn = world.log.put(SnapshotStream, world.log.payloadAt(SnapshotStream, LogOffset{1}));
    world.log.payloadAt(SnapshotStream, torn).at(40) ^= 1U;
    world.log.expireBelow(ControlStream, LogOffset{31});
    Process newcomer(world.log);
    world.run(std::chrono::seconds(5), one.follower, newcomer.follower);
    EXPECT_EQ(newcomer.follower.damagedParts(), 1U);
    EXPECT_TRUE(newcomer.replica.isConfirmed());
    EXPECT_EQ(newcomer.replica.state().digest(), one.replica.state().digest());
}

// The log was out for longer than it keeps records, and every snapshot is gone with them. Running processes still have
// the state: the first of them writes it back as soon as the log answers.
TEST(Snapshots, AfterAnOutagePastTheRetentionTheStateIsWrittenBack)
{
    World world;
    putChanges(world.log, 5);
    Process running(world.log);
    world.run(std::chrono::seconds(5), running.follower);
    world.log.isOut = true;
    world.run(std::chrono::seconds(60), running.follower);
    world.log.expireBelow(ControlStream, LogOffset{6});
    world.log.isOut = false;
    world.run(std::chrono::seconds(10), running.follower);
    EXPECT_FALSE(running.replica.isCutOff());
    running.writer.tick(world.now, running.replica, 0);
    world.run(std::chrono::seconds(5), running.follower);
    EXPECT_EQ(running.writer.counters().written, 1U);
    Process newcomer(world.log);
    world.run(std::chrono::seconds(5), running.follower, newcomer.follower);
    EXPECT_EQ(newcomer.replica.state().digest(), running.replica.state().digest());
}

// A process was paused while records that it needs expired. Without a snapshot nobody can tell what they said: it must
// keep its state and say so, not guess. An operator's reset brings it back.
TEST(Snapshots, AProcessCutOffFromExpiredRecordsWaitsForAReset)
{
    World world;
    putChanges(world.log, 5);
    Process paused(world.log);
    world.run(std::chrono::seconds(5), paused.follower);
    putChanges(world.log, 5);
    world.log.expireBelow(ControlStream, LogOffset{9});
    world.run(std::chrono::seconds(20), paused.follower);
    EXPECT_TRUE(paused.replica.isCutOff());
    EXPECT_EQ(paused.replica.state().offset(), LogOffset{5});
    world.log.put(ControlStream,
                  encodeControlRecord(ResetFold{
                      .operation = OperationId("r"), .basedOn = LogOffset{10}, .rules = workspace("estate", 3)}));
    putChanges(world.log, 1);
    world.run(std::chrono::seconds(20), paused.follower);
    EXPECT_FALSE(paused.replica.isCutOff());
    EXPECT_EQ(paused.replica.state().offset(), LogOffset{12});
    EXPECT_EQ(paused.replica.counters().resetsFromGap, 1U);
    EXPECT_NE(paused.replica.state().rules()->find(WorkspaceName("estate")), nullptr);
}

// Records reach a process from the log and from peers at once: doubled, late, early, and again much later.
RC_GTEST_PROP(ReplicaProperty, AnyDeliveryGivesTheSameStateAndNoneReverts, ())
{
    FakeLog log;
    putChanges(log, 30);
    std::vector<RelayedRecord> records;
    for (std::uint64_t offset = 1; offset <= 30; ++offset) {
        records.push_back(
            {static_cast<LogOffset>(offset), log.payloadAt(ControlStream, static_cast<LogOffset>(offset))});
    }
    ConfigReplica ordered;
    for (const auto &record : records) {
        ordered.receive(record);
    }
    const auto bound = *rc::gen::inRange<std::size_t>(1, 30);
    ConfigReplica replica({.maxBufferedRecords = bound});
    const auto order = *rc::gen::container<std::vector<std::size_t>>(200, rc::gen::inRange<std::size_t>(0, 30));
    LogOffset highest{};
    for (const auto index : order) {
        replica.receive(records[index]);
        RC_ASSERT(replica.state().offset() >= highest);
        highest = replica.state().offset();
    }
    while (const auto missing = replica.firstMissingOffset()) {
        replica.receive(records.at(toNumber(*missing) - 1));
    }
    RC_ASSERT(highest == LogOffset{} || replica.state().offset() >= highest);
    for (std::uint64_t offset = toNumber(replica.state().offset()) + 1; offset <= 30; ++offset) {
        replica.receive(records[offset - 1]);
    }
    RC_ASSERT(replica.state().digest() == ordered.state().digest());
    RC_ASSERT(replica.state().refused(RefusalReason::Conflict) == 0U);
}

} // namespace
