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

std::string workspaceSection(const std::string &name, int weight)
{
    return "[workspace." + name + "]\nweight = " + std::to_string(weight) + "\n";
}

Bytes encodeChange(const std::string &operation, LogOffset basedOn, int weight)
{
    return encodeControlRecord(Publish{.document = DocumentKind::Rules,
                                       .operation = OperationId(operation),
                                       .basedOn = basedOn,
                                       .content = DocumentChange{workspaceSection("mill", weight), {}}});
}

/** Appends @p count accepted changes to @p log. */
void appendChanges(FakeLog &log, int count)
{
    for (int i = 0; i < count; ++i) {
        const auto last = log.last(ControlStream);
        log.put(ControlStream, encodeChange("op-" + std::to_string(toNumber(last)), last, i + 1));
    }
}

/** A process that follows the log and can write snapshots. */
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

/** Runs components against a fake log on virtual time. */
struct Simulation
{
    template<typename... Tickable>
    void run(std::chrono::milliseconds duration, Tickable &...tickables)
    {
        for (const auto end = now + duration; now < end; now += Step) {
            (tickables.tick(now), ...);
            log.run(now);
        }
    }

    FakeLog log;
    SteadyTime now{};
};

enum class LogFault { None, Out, Slow, ReplyLost, AppendDropped, TwoRepliesLost };

struct PublishRow
{
    const char *description;
    LogFault fault;
    bool faultEnds;
    std::size_t expected; ///< index of the PublishResult alternative
};

constexpr std::size_t Accepted = 0;
constexpr std::size_t NotSent = 5;
constexpr std::size_t Unknown = 6;

const PublishRow PublishRows[] = {
    {"no fault", LogFault::None, true, Accepted},
    {"the log is unavailable and recovers", LogFault::Out, true, Accepted},
    {"the log is unavailable for longer than the publish timeout", LogFault::Out, false, NotSent},
    {"the log takes two seconds for each answer", LogFault::Slow, false, Accepted},
    {"the append took effect and its reply was lost", LogFault::ReplyLost, true, Accepted},
    {"two appends took effect and both replies were lost", LogFault::TwoRepliesLost, true, Accepted},
    {"the append was lost before it reached the log", LogFault::AppendDropped, true, Accepted},
};

class PublishWithLogFault : public testing::TestWithParam<PublishRow>
{
};

// Guards against a publish result that differs from what readers fold while the log fails: "accepted" for a record that
// no reader has is a change that never takes effect, and a duplicate could revert a later change of another operator.
TEST_P(PublishWithLogFault, ReportsTheOutcomeThatReadersFold)
{
    const auto &row = GetParam();
    Simulation simulation;
    appendChanges(simulation.log, 5);
    simulation.log.isUnavailable = row.fault == LogFault::Out;
    simulation.log.delay = std::chrono::milliseconds(row.fault == LogFault::Slow ? 2000 : 0);
    simulation.log.repliesToLose = row.fault == LogFault::ReplyLost ? 1 : row.fault == LogFault::TwoRepliesLost ? 2 : 0;
    simulation.log.appendsToDrop = row.fault == LogFault::AppendDropped ? 1 : 0;
    SeededRandom random(1);
    Publisher publisher(
        simulation.log, random,
        {.document = DocumentKind::Rules, .operation = OperationId("mine"), .text = workspaceSection("yard", 2)});
    simulation.run(std::chrono::seconds(10), publisher);
    if (row.faultEnds) {
        simulation.log.isUnavailable = false;
    }
    simulation.run(std::chrono::seconds(25), publisher);
    ASSERT_TRUE(publisher.result()) << row.description;
    EXPECT_EQ(publisher.result()->index(), row.expected) << row.description;

    simulation.log.isUnavailable = false;
    Process reader(simulation.log);
    simulation.run(std::chrono::seconds(10), reader.follower);
    ASSERT_TRUE(reader.replica.isConfirmed());
    const auto *outcome = reader.replica.state().outcomeOf(OperationId("mine"));
    if (row.expected == Accepted) {
        ASSERT_NE(outcome, nullptr) << row.description;
        EXPECT_EQ(outcome->decidedAt, std::get<PublishAccepted>(*publisher.result()).offset) << row.description;
        EXPECT_NE(reader.replica.state().rules()->find(WorkspaceName("yard")), nullptr) << row.description;
    } else {
        EXPECT_EQ(outcome, nullptr) << row.description;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, PublishWithLogFault, testing::ValuesIn(PublishRows));

// Guards against publishing twice: the log fails just after it stored the append, so the outcome is unknown. Repeated
// with the same operation id, the publish finds the first append and reports it instead of appending again.
TEST(Publisher, RetryWithTheSameOperationIdResolvesAnUnknownOutcome)
{
    Simulation simulation;
    appendChanges(simulation.log, 3);
    SeededRandom random(1);
    const PublishRequest request{
        .document = DocumentKind::Rules, .operation = OperationId("mine"), .text = workspaceSection("yard", 2)};
    Publisher first(simulation.log, random, request);
    simulation.log.repliesToLose = 1;
    while (first.counters().appends == 0) {
        simulation.run(Step);
        first.tick(simulation.now);
    }
    simulation.log.isUnavailable = true;
    simulation.run(std::chrono::seconds(31), first);
    ASSERT_TRUE(first.result());
    ASSERT_EQ(first.result()->index(), Unknown);
    simulation.log.isUnavailable = false;
    appendChanges(simulation.log, 2);
    Publisher second(simulation.log, random, request);
    simulation.run(std::chrono::seconds(5), second);
    ASSERT_TRUE(second.result());
    ASSERT_EQ(second.result()->index(), Accepted);
    EXPECT_EQ(std::get<PublishAccepted>(*second.result()).offset, LogOffset{4});
    EXPECT_EQ(second.counters().appends, 0U);
}

// Guards against lost updates: five operators publish the same section concurrently. One is accepted; the refusals of
// the others name its operation id.
TEST(Publisher, AcceptsOneOfFiveConcurrentPublishesAndNamesItToTheOthers)
{
    Simulation simulation;
    appendChanges(simulation.log, 1);
    SeededRandom random(1);
    std::vector<std::unique_ptr<Publisher>> operators;
    operators.reserve(5);
    for (int i = 0; i < 5; ++i) {
        operators.push_back(
            std::make_unique<Publisher>(simulation.log, random,
                                        PublishRequest{.document = DocumentKind::Rules,
                                                       .operation = OperationId("operator-" + std::to_string(i)),
                                                       .basedOn = LogOffset{1},
                                                       .text = workspaceSection("mill", 10 + i)}));
    }
    for (int i = 0; i < 100; ++i) {
        for (auto &publisher : operators) {
            publisher->tick(simulation.now);
        }
        simulation.run(Step);
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

// Guards against a new process without state after the records before the snapshot have expired.
TEST(Snapshots, NewProcessStartsFromTheLastSnapshotAndLaterRecords)
{
    Simulation simulation;
    appendChanges(simulation.log, 30);
    Process existing(simulation.log);
    simulation.run(std::chrono::seconds(5), existing.follower);
    existing.writer.tick(simulation.now, existing.replica, 0);
    simulation.run(std::chrono::seconds(5), existing.follower);
    ASSERT_EQ(existing.writer.counters().written, 1U);
    EXPECT_EQ(existing.replica.state().snapshot().covers, LogOffset{30});
    appendChanges(simulation.log, 5);
    simulation.log.expireBelow(ControlStream, LogOffset{31});
    simulation.run(std::chrono::seconds(5), existing.follower);
    Process newProcess(simulation.log);
    simulation.run(std::chrono::seconds(5), newProcess.follower);
    EXPECT_TRUE(newProcess.replica.isConfirmed());
    EXPECT_EQ(newProcess.replica.state().digest(), existing.replica.state().digest());
}

// Guards against new processes that fail on irregular snapshots: two processes write the same snapshot at once, and a
// third one leaves a damaged part.
TEST(Snapshots, DuplicatesAreHarmlessAndIncompleteOnesAreSkipped)
{
    Simulation simulation;
    appendChanges(simulation.log, 30);
    Process one(simulation.log);
    Process two(simulation.log);
    simulation.run(std::chrono::seconds(5), one.follower, two.follower);
    one.writer.tick(simulation.now, one.replica, 0);
    two.writer.tick(simulation.now, two.replica, 0);
    simulation.run(std::chrono::seconds(5), one.follower, two.follower);
    EXPECT_EQ(simulation.log.last(SnapshotStream), LogOffset{2});
    EXPECT_EQ(one.replica.state().skipped(SkipReason::Doubled), 1U);
    appendChanges(simulation.log, 1);
    const auto incomplete = simulation.log.put(SnapshotStream, simulation.log.payloadAt(SnapshotStream, LogOffset{1}));
    simulation.log.payloadAt(SnapshotStream, incomplete).at(40) ^= 1U;
    simulation.log.expireBelow(ControlStream, LogOffset{31});
    Process newProcess(simulation.log);
    simulation.run(std::chrono::seconds(5), one.follower, newProcess.follower);
    EXPECT_EQ(newProcess.follower.damagedParts(), 1U);
    EXPECT_TRUE(newProcess.replica.isConfirmed());
    EXPECT_EQ(newProcess.replica.state().digest(), one.replica.state().digest());
}

// Guards against losing the state when the log is unavailable for longer than it keeps records, so that records and
// snapshots have expired. Running processes still hold the state; the first one writes a snapshot when the log answers.
TEST(Snapshots, RunningProcessRewritesTheStateAfterAnOutageBeyondRetention)
{
    Simulation simulation;
    appendChanges(simulation.log, 5);
    Process running(simulation.log);
    simulation.run(std::chrono::seconds(5), running.follower);
    simulation.log.isUnavailable = true;
    simulation.run(std::chrono::seconds(60), running.follower);
    simulation.log.expireBelow(ControlStream, LogOffset{6});
    simulation.log.isUnavailable = false;
    simulation.run(std::chrono::seconds(10), running.follower);
    EXPECT_FALSE(running.replica.isCutOff());
    running.writer.tick(simulation.now, running.replica, 0);
    simulation.run(std::chrono::seconds(5), running.follower);
    EXPECT_EQ(running.writer.counters().written, 1U);
    Process newProcess(simulation.log);
    simulation.run(std::chrono::seconds(5), running.follower, newProcess.follower);
    EXPECT_EQ(newProcess.replica.state().digest(), running.replica.state().digest());
}

// Guards against a process that skips records which expired while it was paused. Without a snapshot their content is
// unknown, so the process keeps its state and reports that it is cut off until an operator's reset.
TEST(Snapshots, ProcessThatMissedExpiredRecordsWaitsForAReset)
{
    Simulation simulation;
    appendChanges(simulation.log, 5);
    Process paused(simulation.log);
    simulation.run(std::chrono::seconds(5), paused.follower);
    appendChanges(simulation.log, 5);
    simulation.log.expireBelow(ControlStream, LogOffset{9});
    simulation.run(std::chrono::seconds(20), paused.follower);
    EXPECT_TRUE(paused.replica.isCutOff());
    EXPECT_EQ(paused.replica.state().offset(), LogOffset{5});
    simulation.log.put(ControlStream,
                       encodeControlRecord(ResetFold{.operation = OperationId("r"),
                                                     .basedOn = LogOffset{10},
                                                     .rules = workspaceSection("estate", 3)}));
    appendChanges(simulation.log, 1);
    simulation.run(std::chrono::seconds(20), paused.follower);
    EXPECT_FALSE(paused.replica.isCutOff());
    EXPECT_EQ(paused.replica.state().offset(), LogOffset{12});
    EXPECT_EQ(paused.replica.counters().resetsFromGap, 1U);
    EXPECT_NE(paused.replica.state().rules()->find(WorkspaceName("estate")), nullptr);
}

// Records reach a process from the log and from peers concurrently: duplicated, late, early, and repeated much later.
RC_GTEST_PROP(ReplicaProperty, AnyDeliveryOrderConvergesWithoutReverting, ())
{
    FakeLog log;
    appendChanges(log, 30);
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
