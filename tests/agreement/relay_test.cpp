#include "heatherridge_protocol/controlrecordcodec.h"
#include "support/relaynetwork.h"

#include <gtest/gtest.h>

#include <array>

using namespace Heatherridge;

namespace
{

constexpr std::chrono::milliseconds Step{50};
constexpr std::chrono::milliseconds LongStep{400}; ///< for periods whose timing is not checked
constexpr std::chrono::seconds SettleTime{20};
constexpr int Zones = 2;

/** Two zones of @p perZone processes each, their log, and each zone's counted access to it. */
struct Fleet
{
    explicit Fleet(int perZone)
    {
        std::vector<RelayMember> members;
        members.reserve(static_cast<std::size_t>(perZone) * Zones);
        for (int i = 0; i < perZone * Zones; ++i) {
            members.push_back({.process = nameOf(i), .zone = zoneOf(i), .region = RegionName("r")});
        }
        plan = std::make_shared<const RelayPlan>(members);
        for (int i = 0; i < perZone * Zones; ++i) {
            start(i);
        }
    }

    static ProcessName nameOf(int index)
    {
        return ProcessName("target-" + std::to_string(index));
    }

    static ZoneName zoneOf(int index)
    {
        return ZoneName(index % Zones == 0 ? "a" : "b");
    }

    RelayNetwork::Node &start(int index)
    {
        return network.add(access.at(index % Zones),
                           {.process = nameOf(index),
                            .zone = zoneOf(index),
                            .buildPlan = [shared = plan](const Inventory &) { return shared; }});
    }

    void run(std::chrono::milliseconds duration, std::chrono::milliseconds step = Step)
    {
        network.run(duration, step, [this] {
            log.run(network.now());
            for (auto &zone : access) {
                zone.run();
            }
        });
    }

    LogOffset publish()
    {
        const auto last = log.last(ControlStream);
        const auto number = std::to_string(toNumber(last));
        return log.put(ControlStream,
                       encodeControlRecord(Publish{.document = DocumentKind::Rules,
                                                   .operation = OperationId("op-" + number),
                                                   .basedOn = last,
                                                   .content = DocumentChange{"[workspace.w" + number + "]\n", {}}}));
    }

    /** Returns the number of running processes that have not folded @p offset. */
    std::size_t countBehind(LogOffset offset)
    {
        return static_cast<std::size_t>(
            std::count_if(network.nodes().begin(), network.nodes().end(), [offset](const auto &entry) {
                return !entry.second->isPaused && entry.second->agent.replica().state().offset() < offset;
            }));
    }

    /** Returns the number of processes that currently read the log. */
    std::size_t countReaders()
    {
        return static_cast<std::size_t>(
            std::count_if(network.nodes().begin(), network.nodes().end(),
                          [](const auto &entry) { return entry.second->agent.relay().shouldReadLog(); }));
    }

    FakeLog log;
    std::array<LogAccess, Zones> access{LogAccess(log), LogAccess(log)};
    RelayNetwork network;
    std::shared_ptr<const RelayPlan> plan;
};

TEST(Relay, FewProcessesReadTheLogAndAllApplyAChangeWithinThreeSeconds)
{
    Fleet fleet(40);
    fleet.run(SettleTime);
    EXPECT_EQ(fleet.countReaders(), 4U);
    const auto offset = fleet.publish();
    fleet.run(std::chrono::seconds(3));
    EXPECT_EQ(fleet.countBehind(offset), 0U);
    for (const auto &[name, node] : fleet.network.nodes()) {
        EXPECT_EQ(node->agent.phase(), ProcessPhase::Ready);
        EXPECT_EQ(node->agent.relay().counters().diverged, 0U);
    }
}

enum class Fault { AllReadersKilled, ReadersKilled, ReadersPaused, OneReaderKilled, MessagesDoubled, ZoneCutFromLog };

struct FaultRow
{
    const char *description;
    Fault fault;
    std::chrono::seconds timeLimit; ///< from the publish, which immediately follows the fault
};

const FaultRow FaultRows[] = {
    {"one reader of zone a is killed when a change is published", Fault::OneReaderKilled, std::chrono::seconds(3)},
    {"all readers of zone a are killed", Fault::ReadersKilled, std::chrono::seconds(10)},
    {"all readers of both zones are killed", Fault::AllReadersKilled, std::chrono::seconds(4)},
    {"all readers of zone a are paused; their connections stay open", Fault::ReadersPaused, std::chrono::seconds(20)},
    {"zone a is cut off from the log but not from zone b", Fault::ZoneCutFromLog, std::chrono::seconds(5)},
    {"every message between processes is delivered twice", Fault::MessagesDoubled, std::chrono::seconds(3)},
};

class RelayUnderFault : public testing::TestWithParam<FaultRow>
{
};

// Guards against a zone that stays on the old configuration, with all its processes considering themselves up to date,
// because the processes that read the log for the zone fail when a change is published.
TEST_P(RelayUnderFault, EveryRunningProcessReceivesTheChange)
{
    Fleet fleet(20);
    fleet.run(SettleTime);
    std::vector<ProcessName> readers;
    for (const auto &[name, node] : fleet.network.nodes()) {
        const bool isInZoneA = Fleet::zoneOf(std::stoi(name.text().substr(7))) == ZoneName("a");
        if (fleet.plan->isReader(name) && (isInZoneA || GetParam().fault == Fault::AllReadersKilled)) {
            readers.push_back(name);
        }
    }
    ASSERT_EQ(readers.size(), GetParam().fault == Fault::AllReadersKilled ? 4U : 2U);
    if (GetParam().fault == Fault::OneReaderKilled) {
        readers.pop_back();
    }
    for (const auto &reader : readers) {
        if (GetParam().fault == Fault::ReadersPaused) {
            fleet.network.node(reader).isPaused = true;
        } else if (GetParam().fault == Fault::AllReadersKilled || GetParam().fault == Fault::ReadersKilled
                   || GetParam().fault == Fault::OneReaderKilled) {
            fleet.network.kill(reader);
        }
    }
    fleet.network.duplicateMessages = GetParam().fault == Fault::MessagesDoubled;
    fleet.access[0].isDisconnected = GetParam().fault == Fault::ZoneCutFromLog;
    const auto offset = fleet.publish();
    fleet.run(GetParam().timeLimit);
    EXPECT_EQ(fleet.countBehind(offset), 0U) << GetParam().description;
    for (const auto &[name, node] : fleet.network.nodes()) {
        EXPECT_EQ(node->agent.replica().state().skipped(SkipReason::Doubled), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, RelayUnderFault, testing::ValuesIn(FaultRows));

// Guards against a process without state when it is replaced during a log outage. It must adopt the newest state that a
// peer has, report it as unconfirmed, and be confirmed when the log recovers.
TEST(Relay, ProcessReplacedDuringALogOutageAdoptsPeerStateAsUnconfirmed)
{
    Fleet fleet(10);
    for (int i = 0; i < 5; ++i) {
        fleet.publish();
    }
    fleet.run(SettleTime);
    fleet.log.isUnavailable = true;
    fleet.run(std::chrono::seconds(5));
    fleet.network.kill(Fleet::nameOf(3));
    auto &replaced = fleet.start(3);
    fleet.run(SettleTime);
    EXPECT_EQ(replaced.agent.replica().state().offset(), LogOffset{5});
    EXPECT_EQ(replaced.agent.phase(), ProcessPhase::Unconfirmed);
    fleet.log.isUnavailable = false;
    const auto offset = fleet.publish();
    fleet.run(SettleTime);
    EXPECT_EQ(fleet.countBehind(offset), 0U);
    EXPECT_EQ(replaced.agent.phase(), ProcessPhase::Ready);
}

// Guards against overloading the log when it recovers after twelve minutes: if every process read it at once, it would
// fail again.
TEST(Relay, LogOutageDoesNotMakeEveryProcessPollTheLog)
{
    Fleet fleet(40);
    fleet.run(SettleTime);
    fleet.log.isUnavailable = true;
    fleet.run(std::chrono::minutes(2), LongStep);
    const auto before = fleet.log.counts.reads;
    fleet.run(std::chrono::minutes(10), LongStep);
    const auto perMinute = (fleet.log.counts.reads - before) / 10;
    // Four readers with one attempt every 2.5 s on average make 96; each of the other 76 tries about once a minute.
    EXPECT_LT(perMinute, 250);
    fleet.log.isUnavailable = false;
    const auto offset = fleet.publish();
    fleet.run(std::chrono::seconds(12));
    EXPECT_EQ(fleet.countBehind(offset), 0U);
    fleet.run(SettleTime);
    EXPECT_EQ(fleet.countReaders(), 4U);
}

// Guards against losing the state, or its age, in a zone that is disconnected from the other zones and from the log for
// an hour. It must keep its state, report how old it is, and catch up soon after it is reconnected.
TEST(Relay, ZoneIsolatedForAnHourReportsItsStateAgeAndCatchesUp)
{
    Fleet fleet(10);
    fleet.publish();
    fleet.run(SettleTime);
    fleet.access[1].isDisconnected = true;
    fleet.network.canDeliver = [](const ProcessName &a, const ProcessName &b) {
        return (std::stoi(a.text().substr(7)) + std::stoi(b.text().substr(7))) % Zones == 0;
    };
    fleet.run(std::chrono::seconds(2)); // lets the log end the long polls that it holds open
    const auto offset = fleet.publish();
    fleet.run(std::chrono::minutes(60), LongStep);
    EXPECT_EQ(fleet.countBehind(offset), 10U);
    EXPECT_EQ(fleet.countBehind(LogOffset{1}), 0U);
    for (int i = 1; i < 2 * 10; i += Zones) {
        const auto age = fleet.network.node(Fleet::nameOf(i)).agent.relay().freshAge(fleet.network.now());
        EXPECT_GE(age, std::chrono::minutes(59));
    }
    fleet.access[1].isDisconnected = false;
    fleet.network.canDeliver = [](const auto &, const auto &) { return true; };
    fleet.run(std::chrono::seconds(8));
    EXPECT_EQ(fleet.countBehind(offset), 0U);
}

// Guards against treating an ended run of a process as alive because one of its frames arrives after frames of the next
// run.
TEST(Relay, MessageFromAnEndedIncarnationIsRejected)
{
    Fleet fleet(10);
    fleet.run(SettleTime);
    auto &node = *fleet.network.nodes().begin()->second;
    const auto peer = node.agent.relay().peers().begin()->first;
    const auto endedIncarnation = node.agent.relay().peers().begin()->second.incarnation;
    const auto now = fleet.network.now();
    node.agent.relay().receive(peer, {.sender = peer, .incarnation = Incarnation{77}}, Heartbeat{}, now);
    node.agent.relay().receive(peer, {.sender = peer, .incarnation = endedIncarnation, .offset = LogOffset{99}},
                               Heartbeat{}, now);
    EXPECT_EQ(node.agent.relay().counters().oldIncarnation, 1U);
    EXPECT_EQ(node.agent.relay().peers().at(peer).offset, LogOffset{});
    EXPECT_FALSE(node.agent.replica().firstMissingOffset());
}

TEST(RelayPlan, RemovingAMemberReassignsOnlyItsSubscribers)
{
    std::vector<RelayMember> members;
    members.reserve(700);
    for (int i = 0; i < 700; ++i) {
        members.push_back({.process = Fleet::nameOf(i), .zone = ZoneName("a")});
    }
    const RelayPlan before(members);
    members.pop_back();
    const RelayPlan after(members);
    int reassigned = 0;
    std::map<ProcessName, int> children;
    for (const auto &member : members) {
        const auto first = before.sourcesOf(member.process, member.zone);
        const auto second = after.sourcesOf(member.process, member.zone);
        ASSERT_GE(first.size(), before.isReader(member.process) ? 1U : 2U);
        for (std::size_t i = 0; i < std::min<std::size_t>(first.size(), 2); ++i) {
            ++children[first[i]->process];
            EXPECT_NE(first[i]->process, member.process);
        }
        reassigned += first[0]->process != second[0]->process ? 1 : 0;
    }
    EXPECT_LT(reassigned, 30);
    EXPECT_LE(before.depthOf(ZoneName("a")), 4U); // 2 readers times 5^4 exceeds 700
    for (const auto &[process, count] : children) {
        EXPECT_LE(count, 30) << process.text();
    }
}

} // namespace
