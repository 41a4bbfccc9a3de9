#include "groups/switchsimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

constexpr int ActionsPerSchedule = 1200;
constexpr int SchedulesPerCase = 20;
/** Percentage of messages delivered twice. */
constexpr int FewDuplicatesPercent = 5;
constexpr int ManyDuplicatesPercent = 40;
/** Percentage of proposals that change the members of the group. */
constexpr int FewEpochsPercent = 5;
constexpr int ManyEpochsPercent = 50;

/** Returns the options of schedule @p index of the case with seed @p seed. */
SwitchSimulation::Options simulationOptions(std::uint32_t seed, int index)
{
    return {.ranks = 2 + index % 3,
            .seed = seed + static_cast<std::uint64_t>(index) * 7919,
            .duplicatePercent = index % 3 == 0 ? ManyDuplicatesPercent : FewDuplicatesPercent,
            .leaderChangesPerMille = index % 7 < 4 ? 1 : 4,
            .epochPercent = index % 5 == 0 ? ManyEpochsPercent : FewEpochsPercent,
            .staleOrders =
                index % 4 < 2 ? SwitchSimulation::StaleOrders::Rejected : SwitchSimulation::StaleOrders::InOrder,
            .engineFaults = index % 2 == 0};
}

RC_GTEST_PROP(Switches, AllRanksUseOneMapPerStepAndEverySwitchIsDecided, (std::uint32_t seed))
{
    int switches = 0;
    for (int index = 0; index < SchedulesPerCase; ++index) {
        SwitchSimulation simulation(simulationOptions(seed, index));
        simulation.run(ActionsPerSchedule);
        RC_ASSERT(simulation.violation() == "");
        RC_ASSERT(simulation.recover());
        RC_ASSERT(simulation.violation() == "");
        RC_ASSERT(simulation.switchWithoutLog());
        switches += simulation.switchCount();
    }
    RC_ASSERT(switches > SchedulesPerCase);
}

struct RegressionCase
{
    const char *description;
    std::uint32_t seed; ///< seed of the case
    int schedule; ///< index within the case
};

const RegressionCase RegressionCases[] = {
    // All streams of a group stall permanently: three of four ranks have agreed to a switch and wait at its limit, the
    // leader that proposed it has died, and its successor considers the group complete and proposes nothing.
    {"a switch stays undecided after its leader has died", 35853, 5},
};

class RegressionSchedules : public testing::TestWithParam<RegressionCase>
{
};

TEST_P(RegressionSchedules, DecideEverySwitch)
{
    const auto &regression = GetParam();
    SwitchSimulation simulation(simulationOptions(regression.seed, regression.schedule));
    simulation.run(ActionsPerSchedule);
    EXPECT_TRUE(simulation.recover()) << regression.description;
    EXPECT_EQ(simulation.violation(), "") << regression.description;
}

INSTANTIATE_TEST_SUITE_P(Table, RegressionSchedules, testing::ValuesIn(RegressionCases));

struct SafeguardCase
{
    const char *description;
    SwitchSafeguards safeguards;
    SwitchSimulation::StaleOrders staleOrders = SwitchSimulation::StaleOrders::Rejected;
};

const SafeguardCase SafeguardCases[] = {
    // A slow rank passes its bound before the limit arrives and reaches the switch step with the old map.
    {"a gate agrees before its engine has confirmed the limit", {.limitBeforeVote = false}},
    // The rank whose vote is missing has no limit and keeps stepping with the old map.
    {"a majority of votes decides", {.countEveryVote = false}},
    // A rank with a later bound passes the switch step with the old map before it knows the outcome.
    {"the switch takes effect at the earliest bound", {.latestBound = false}},
    // While waiting for one outcome, a rank agrees to another switch; its engine holds only the first limit.
    {"a gate agrees to a second switch while one is undecided", {.limitBeforeVote = false, .oneAtATime = false}},
    // The earlier run had agreed; the new run lets the engine continue with the old map while the others switch.
    {"a restarted gate lifts a limit that it did not order", {.keepLimitAfterRestart = false}},
    // Two leaders append epochs of the same number with different maps; ranks enter different ones.
    {"a later record replaces an epoch with the same number", {.firstEpochWins = false}},
    // A restarted engine re-enters the epoch with its first map, long after a switch.
    {"an engine enters an epoch that lists another run", {.namedEngineOnly = false}},
    // A run of the gate refuses because no limit is set. Then the limit ordered by the dead run arrives, and the third
    // run
    // adopts it as a vote.
    {"an engine executes delayed orders of a dead run of its gate", {}, SwitchSimulation::StaleOrders::Executed},
};

class SafeguardSchedules : public testing::TestWithParam<SafeguardCase>
{
};

/** Disabling any one safeguard must lead to two maps in one step in some schedule; otherwise it has no effect. */
TEST_P(SafeguardSchedules, EachSafeguardIsNecessary)
{
    const int maxSchedules = 20'000;
    int schedule = 0;
    bool isViolated = false;
    while (!isViolated && schedule < maxSchedules) {
        SwitchSimulation simulation(
            {.seed = static_cast<std::uint64_t>(++schedule),
             .safeguards = GetParam().safeguards,
             .duplicatePercent = schedule % 4 < 2 ? FewDuplicatesPercent : ManyDuplicatesPercent,
             .leaderChangesPerMille = schedule % 5 < 3 ? 1 : 4,
             .epochPercent = schedule % 3 == 0 ? ManyEpochsPercent : FewEpochsPercent,
             .staleOrders = GetParam().staleOrders,
             .engineFaults = schedule % 2 == 0});
        simulation.run(ActionsPerSchedule);
        isViolated = !simulation.violation().empty();
    }
    RecordProperty("schedules", schedule);

    EXPECT_TRUE(isViolated) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(Table, SafeguardSchedules, testing::ValuesIn(SafeguardCases));

/** A gate and its engine, which executes orders immediately. */
struct DirectRank
{
    RankGate gate;
    LockStepEngine &engine;
    std::vector<GroupMessage> messagesToLeader{};

    void performActions(const GateActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *order = std::get_if<OrderEngine>(&action)) {
                engine.execute(order->order);
                performActions(gate.handleEngineState(engine.state()));
            } else if (const auto *message = std::get_if<SendToLeader>(&action)) {
                messagesToLeader.push_back(message->message);
            }
        }
    }

    std::optional<Vote> lastVote() const
    {
        std::optional<Vote> vote;
        for (const auto &message : messagesToLeader) {
            if (const auto *list = std::get_if<VoteList>(&message); list != nullptr && !list->votes.empty()) {
                vote = list->votes.front();
            }
        }
        return vote;
    }
};

class RestartedGate : public testing::TestWithParam<bool>
{
};

/**
 * Guards against a restarted gate agreeing to a switch that its earlier run has refused. A rank that has agreed learns
 * of the refusal and continues with the old map. The refusing rank's gate restarts, and the leader's messages for the
 * switch arrive a second time. If the new run agreed, the remaining ranks would count all votes and switch without the
 * others. Too rare for random schedules (about one in ten thousand), so the sequence is reproduced here.
 */
TEST_P(RestartedGate, DoesNotAgreeToSwitchRefusedByEarlierRun)
{
    const SwitchSafeguards safeguards{.sameRunVotes = GetParam()};
    const std::vector<LayerPlacement> layers{{{0, 0, ExpertSlot::WholeShare}}};
    const auto shape = GroupShape{.layers = 1, .experts = 1, .slots = {1, 1}};
    const auto makeMap = [&](std::uint64_t number) {
        return std::get<ExpertMap>(ExpertMap::create(static_cast<MapNumber>(number), shape, layers));
    };
    const GroupEpoch epoch{
        .number = EpochNumber{1},
        .members = {{.rank = 0, .incarnation = Incarnation{9}}, {.rank = 1, .incarnation = Incarnation{8}}},
        .map = makeMap(1)};
    const LoadMap load{.epoch = EpochNumber{1}, .addressee = Incarnation{1}, .map = makeMap(2)};
    const VoteRequest request{.epoch = EpochNumber{1}, .map = MapNumber{2}};
    LockStepEngine engine(Incarnation{9});

    DirectRank firstRun{.gate = RankGate({.rank = 0, .run = Incarnation{1}, .safeguards = safeguards}),
                        .engine = engine};
    firstRun.performActions(firstRun.gate.tick());
    firstRun.performActions(firstRun.gate.handleEpoch(epoch));
    firstRun.performActions(firstRun.gate.handle(load, -1));
    firstRun.performActions(firstRun.gate.handle(CancelMap{.epoch = EpochNumber{1}, .map = MapNumber{2}}, -1));
    ASSERT_TRUE(firstRun.lastVote());
    EXPECT_FALSE(firstRun.lastVote()->agreed);

    DirectRank secondRun{.gate = RankGate({.rank = 0, .run = Incarnation{2}, .safeguards = safeguards}),
                         .engine = engine};
    secondRun.performActions(secondRun.gate.tick());
    secondRun.performActions(secondRun.gate.handle(load, -1));
    secondRun.performActions(secondRun.gate.handle(request, -1));
    ASSERT_TRUE(secondRun.lastVote());
    EXPECT_EQ(secondRun.lastVote()->agreed, !safeguards.sameRunVotes);
}

INSTANTIATE_TEST_SUITE_P(WithAndWithoutSafeguard, RestartedGate, testing::Bool());

} // namespace
