#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heldgroups/groupassignments.h"
#include "support/stubrankcontrol.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr int GroupSize = 4;

/** How one rank answers status requests in a phase. */
enum class RankAnswer {
    Open,
    NotOpen, ///< reports that its group does not operate
    None, ///< the request fails
};

/** Ranks that answer as the test configures them. */
class ScriptedRanks final : public RankControl
{
public:
    std::chrono::milliseconds maxStatusAge(const TargetEntry &) const override
    {
        return 10ms;
    }

    void fetchStatus(const TargetEntry &target, std::function<void(Result<RankStatus>)> done) override
    {
        const int rank = std::stoi(target.id.text());
        ++statusRequests[target.id];
        const auto answer = answers.at(static_cast<std::size_t>(rank));
        if (answer == RankAnswer::None) {
            done(Error{.kind = ErrorKind::TargetUnreachable});
            return;
        }
        done(RankStatus{.group = GroupName("g"),
                        .epoch = 1,
                        .rank = rank,
                        .size = GroupSize,
                        .isOpen = answer == RankAnswer::Open,
                        .step = 10,
                        .countsLastPolledAgo = countsLastPolledAgo});
    }

    void fetchCounts(const TargetEntry &, std::function<void(Result<RankCounts>)> done) override
    {
        ++countsRequests;
        done(RankCounts{.epoch = 1});
    }

    void fetchExperts(const TargetEntry &, std::function<void(Result<RankExperts>)> done) override
    {
        done(RankExperts{});
    }

    void sendOrder(const TargetEntry &, const RankOrder &, std::uint64_t, std::function<void(OrderReply)> done) override
    {
        done(OrderReply::Refused);
    }

    std::vector<RankAnswer> answers;
    std::optional<std::chrono::milliseconds> countsLastPolledAgo{}; ///< as each rank reports
    int countsRequests = 0;
    std::map<TargetName, int> statusRequests{}; ///< by rank
};

class FixedClock final : public Clock
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

struct MonitoringCase
{
    const char *name;
    std::vector<RankAnswer> before;
    std::vector<RankAnswer> after;
    int open; ///< engines that are reported as open in the end
};

const MonitoringCase MonitoringCases[] = {
    {"all open",
     {RankAnswer::Open, RankAnswer::Open, RankAnswer::Open, RankAnswer::Open},
     {RankAnswer::Open, RankAnswer::Open, RankAnswer::Open, RankAnswer::Open},
     4},
    // An engine dies, and the rest of its group reports it. The engine's own last status says that the group operates
    // and that it is idle, so it received 577 attempts that never reached it, and callers were refused because no
    // repeats were left.
    {"one has died",
     {RankAnswer::Open, RankAnswer::Open, RankAnswer::Open, RankAnswer::Open},
     {RankAnswer::NotOpen, RankAnswer::None, RankAnswer::NotOpen, RankAnswer::NotOpen},
     0},
    {"one is unreachable from here only",
     {RankAnswer::Open, RankAnswer::Open, RankAnswer::Open, RankAnswer::Open},
     {RankAnswer::Open, RankAnswer::None, RankAnswer::Open, RankAnswer::Open},
     3},
    // After a power failure the first engine to answer would receive all waiting requests.
    {"too few have reported",
     {RankAnswer::Open, RankAnswer::None, RankAnswer::None, RankAnswer::None},
     {RankAnswer::Open, RankAnswer::None, RankAnswer::None, RankAnswer::None},
     0},
};

class MonitoredEngines : public testing::TestWithParam<MonitoringCase>
{
};

TEST_P(MonitoredEngines, AreOpenWhileTheirGroupWorks)
{
    const auto &testCase = GetParam();
    ScriptedRanks ranks;
    std::map<TargetName, EngineView> views;
    const FixedClock clock;
    const auto keepLatest = [&views](const std::vector<EngineView> &engines) {
        for (const auto &engine : engines) {
            views.insert_or_assign(engine.target, engine);
        }
    };
    ExpertRebalancer rebalancer(ranks, {}, {.enginesUpdated = keepLatest}, clock, [] { return 1; });
    rebalancer.setTargets(numberedRanks(GroupSize), {.layerSets = 1, .experts = 4, .expertSlots = 2}, 120ms);
    SteadyTime now(1h);
    for (const auto &answers : {testCase.before, testCase.after}) {
        ranks.answers = answers;
        for (int tick = 0; tick < 200; ++tick) { // longer than the time after which a silent engine is dropped
            now += 20ms;
            rebalancer.tick(now);
        }
    }
    EXPECT_EQ(std::count_if(views.begin(), views.end(), [](const auto &view) { return view.second.isOpen; }),
              testCase.open)
        << testCase.name;
    const auto knownEngines = std::count_if(testCase.before.begin(), testCase.before.end(),
                                            [](auto answer) { return answer != RankAnswer::None; });
    EXPECT_EQ(static_cast<std::ptrdiff_t>(views.size()), knownEngines)
        << "an engine that stops answering is still reported";
}

INSTANTIATE_TEST_SUITE_P(All, MonitoredEngines, testing::ValuesIn(MonitoringCases));

struct FarRankCase
{
    const char *name;
    bool isActive; ///< the rebalancer switches maps
    int rank;
    bool isPolledLess; ///< it is polled less often than a near rank
};

// Guards against too many status requests: fourteen gateways that poll 192 engines every 0.4 s make 7,000 requests per
// second, most of them to other availability zones.
const FarRankCase FarRankCases[] = {
    {"a far rank", false, 2, true},
    {"a far rank at which switches hold passes", false, 0, false},
    {"a far rank at which recoveries hold passes", false, 1, false},
    {"a near rank", false, 3, false},
    {"a far rank while this rebalancer switches maps", true, 2, false},
};

class FarRanks : public testing::TestWithParam<FarRankCase>
{
};

TEST_P(FarRanks, ArePolledByImportance)
{
    const auto &testCase = GetParam();
    ScriptedRanks ranks;
    ranks.answers.assign(GroupSize, RankAnswer::Open);
    std::vector<TargetEntry> targets;
    targets.reserve(GroupSize);
    for (int rank = 0; rank < GroupSize; ++rank) {
        targets.push_back({.id = TargetName(std::to_string(rank)), .zone = ZoneName(rank == 3 ? "near" : "far")});
    }
    const FixedClock clock;
    constexpr double thinLink = 100; // bytes per second
    ExpertRebalancer rebalancer(ranks, {.budget = ControlBudget(ZoneName("near"), thinLink)}, {}, clock,
                                [] { return 1; });
    rebalancer.setTargets(targets, {.layerSets = 1, .experts = 4, .expertSlots = 2}, 120ms);
    rebalancer.setActive(testCase.isActive ? everyGroup : noGroup, true);
    SteadyTime now(1h);
    constexpr int ticks = 600;
    for (int tick = 0; tick < ticks; ++tick) {
        now += 20ms;
        rebalancer.tick(now);
    }
    const int asked = ranks.statusRequests[targets[static_cast<std::size_t>(testCase.rank)].id];
    constexpr int nearRequests = ticks * 20 / 400;
    EXPECT_LE(asked, testCase.isPolledLess ? nearRequests / 4 : ticks) << testCase.name;
    EXPECT_GE(asked, testCase.isPolledLess ? 1 : nearRequests - 2) << testCase.name;
}

INSTANTIATE_TEST_SUITE_P(All, FarRanks, testing::ValuesIn(FarRankCases));

struct TakeoverCase
{
    const char *name;
    bool isConfirmed; ///< the log answers this rebalancer
    std::optional<std::chrono::milliseconds> countsLastPolledAgo;
    bool fallsSilent; ///< ranks stop answering after their first statuses
    bool takesOver;
};

// Guards against groups without an active rebalancer while the log is down: the host of the active one is stopped, the
// others cannot learn from the log who has its share, and nobody follows the demand until the log is back. Passes took
// two to three times as long for nine seconds.
const TakeoverCase TakeoverCases[] = {
    {"no rebalancer has requested counts for long, and the log does not answer", false, 10s, false, true},
    {"another rebalancer requests counts", false, 100ms, false, false},
    {"the log answers and gives the share to another", true, 10s, false, false},
    {"ranks cannot report requests for counts", false, std::nullopt, false, false},
    {"the reports of ranks are outdated", false, 1'400ms, true, false},
};

class Takeovers : public testing::TestWithParam<TakeoverCase>
{
};

TEST_P(Takeovers, HappenOnlyWithoutLogAndActiveRebalancer)
{
    const auto &testCase = GetParam();
    ScriptedRanks ranks;
    ranks.answers.assign(GroupSize, RankAnswer::Open);
    ranks.countsLastPolledAgo = testCase.countsLastPolledAgo;
    std::vector<std::string> decisions;
    const FixedClock clock;
    ExpertRebalancer rebalancer(
        ranks, {},
        {.decisionMade = [&decisions](auto what, const auto &, const auto &) { decisions.emplace_back(what); }}, clock,
        [] { return 700; });
    rebalancer.setTargets(numberedRanks(GroupSize), {.layerSets = 1, .experts = 4, .expertSlots = 2}, 120ms);
    SteadyTime now(1h);
    for (int tick = 0; tick < 200; ++tick) {
        now += 20ms;
        rebalancer.setActive(noGroup, testCase.isConfirmed);
        rebalancer.tick(now);
        if (testCase.fallsSilent && tick == 30) {
            ranks.answers.assign(GroupSize, RankAnswer::None);
        }
    }
    EXPECT_EQ(std::count(decisions.begin(), decisions.end(), "keeper-takes-over"), testCase.takesOver ? 1 : 0)
        << testCase.name;
    EXPECT_EQ(ranks.countsRequests > 0, testCase.takesOver) << testCase.name;
    // The log answers again and says who has the share.
    rebalancer.setActive(noGroup, true);
    const int requests = ranks.countsRequests;
    for (int tick = 0; tick < 100; ++tick) {
        now += 20ms;
        rebalancer.tick(now);
    }
    EXPECT_EQ(ranks.countsRequests, requests) << testCase.name;
}

INSTANTIATE_TEST_SUITE_P(All, Takeovers, testing::ValuesIn(TakeoverCases));

} // namespace
