#include "heatherridge_coordination/demand/demandexchange.h"
#include "heatherridge_state/demand/demandtable.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

using namespace Heatherridge;

namespace
{

using std::chrono::milliseconds;

const SteadyTime Start = SteadyTime{} + std::chrono::hours(1);
constexpr milliseconds Tick{20};
constexpr milliseconds CallTimeout{250};

/** Sidecars with a table each. Messages arrive at once; a call to a silent sidecar fails after CallTimeout. */
class FakeSidecars
{
public:
    DemandTable &table(const TargetEntry &target)
    {
        return m_tables.try_emplace(target.id, target.zone).first->second;
    }

    void answer(const TargetEntry &target, const DemandRequest &request,
                const std::function<void(Result<DemandResponse>)> &done)
    {
        if (unsupporting.contains(target.id)) {
            done(Error{.kind = ErrorKind::NotFound});
            return;
        }
        auto &known = table(target);
        ProcessName gateway;
        if (request.statement) {
            ++statements[target.id];
            gateway = request.statement->gateway;
            known.applyStatement(*request.statement, request.lifetime, now);
        }
        for (const auto &zone : request.zones) {
            known.applyZone(zone, now);
        }
        const auto workspaces = request.statement ? MaxDemandWorkspaces : MaxRelayedWorkspaces;
        done(DemandResponse{.ownZone = known.ownZone(gateway, workspaces, now),
                            .otherZones = request.statement ? known.otherZones(now) : std::vector<ZoneDemand>{}});
    }

    void restart(const TargetName &target)
    {
        m_tables.erase(target);
    }

    SteadyTime now = Start;
    std::set<TargetName> silent{}; ///< frozen or cut off
    std::set<TargetName> unsupporting{}; ///< of an earlier version, without the message
    std::map<TargetName, int> statements{}; ///< received

private:
    std::map<TargetName, DemandTable> m_tables;
};

/** The link of one gateway, which can be cut off from some sidecars. */
class FakeLink final : public DemandLink
{
public:
    explicit FakeLink(FakeSidecars &sidecars)
        : m_sidecars(sidecars)
    {
    }

    void send(const TargetEntry &target, const DemandRequest &request,
              std::function<void(Result<DemandResponse>)> done) override
    {
        ++calls;
        if (m_sidecars.silent.contains(target.id) || cutOff.contains(target.id)) {
            m_unanswered.emplace(m_sidecars.now + CallTimeout, std::move(done));
            return;
        }
        m_sidecars.answer(target, request, done);
    }

    void failTimedOut()
    {
        while (!m_unanswered.empty() && m_unanswered.begin()->first <= m_sidecars.now) {
            const auto done = std::move(m_unanswered.extract(m_unanswered.begin()).mapped());
            done(Error{.kind = ErrorKind::TargetUnreachable});
        }
    }

    std::set<TargetName> cutOff{};
    int calls = 0;

private:
    FakeSidecars &m_sidecars;
    std::multimap<SteadyTime, std::function<void(Result<DemandResponse>)>> m_unanswered;
};

struct Gateway
{
    Gateway(FakeSidecars &sidecars, DemandExchange::Options options)
        : link(sidecars)
        , exchange(
              link, std::move(options),
              {.changed = [this](FleetDemand demand) { last = std::move(demand); },
               .callEnded = [this](const TargetEntry &, const Error *error) { failures += error != nullptr ? 1 : 0; },
               .statusChanged =
                   [this](const DemandExchange::Status &status) {
                       wasUnknown = wasUnknown || (hasBeenKnown && !status.isKnown);
                       hasBeenKnown = hasBeenKnown || status.isKnown;
                   }})
    {
    }

    FakeLink link;
    FleetDemand last{};
    int failures = 0;
    bool hasBeenKnown = false;
    bool wasUnknown = false; ///< demand has become unknown after it was known
    DemandExchange exchange;
};

TargetEntry engine(const std::string &name, const std::string &zone)
{
    return {.id = TargetName(name), .service = ServiceName("s"), .zone = ZoneName(zone)};
}

/** Gateways and sidecars that share a simulated clock. */
class Fleet
{
public:
    explicit Fleet(std::vector<TargetEntry> targets)
        : targets(std::move(targets))
    {
    }

    Gateway &add(const std::string &name, const std::string &zone, double arrivalsPerSecond, double size = 0,
                 DemandExchangeMode mode = DemandExchangeMode::Auto, bool isDifferentiated = true)
    {
        auto &gateway =
            *gateways.emplace_back(std::make_unique<Gateway>(sidecars,
                                                             DemandExchange::Options{.mode = mode,
                                                                                     .gateway = ProcessName(name),
                                                                                     .zone = ZoneName(zone),
                                                                                     .size = {.processorShare = size},
                                                                                     .run = ++m_run}));
        gateway.exchange.setTargets(targets);
        gateway.exchange.setDifferentiated(isDifferentiated);
        gateway.exchange.setOwnDemand(
            {{.service = ServiceName("s"), .ranks = {{0, {.arrivalsPerSecond = arrivalsPerSecond}}}}});
        return gateway;
    }

    void run(milliseconds duration)
    {
        const auto end = sidecars.now + duration;
        while (sidecars.now < end) {
            sidecars.now += Tick;
            for (const auto &gateway : gateways) {
                gateway->link.failTimedOut();
                gateway->exchange.tick(sidecars.now);
            }
        }
    }

    /** Returns the target that most statements have reached since the last call. */
    TargetName busiestExchangePoint()
    {
        const auto received = std::exchange(sidecars.statements, {});
        const auto busiest = std::max_element(received.begin(), received.end(),
                                              [](const auto &a, const auto &b) { return a.second < b.second; });
        return busiest == received.end() ? TargetName() : busiest->first;
    }

    FakeSidecars sidecars;
    std::vector<TargetEntry> targets;
    std::vector<std::unique_ptr<Gateway>> gateways;

private:
    std::uint64_t m_run = 0;
};

double arrivalsIn(const FleetDemand &demand)
{
    return demand.services.empty() ? 0 : demand.services.front().ranks.at(0).arrivalsPerSecond;
}

const std::vector<TargetEntry> OneZone{engine("t0", "a"), engine("t1", "a"), engine("t2", "a"), engine("t3", "a")};
const std::vector<TargetEntry> ThreeZones{engine("t0", "a"), engine("t1", "a"), engine("t2", "b"),
                                          engine("t3", "b"), engine("t4", "c"), engine("t5", "c")};

struct SumRow
{
    const char *story;
    std::vector<TargetEntry> targets;
    std::vector<const char *> zones; ///< of the gateways; the n-th has 2^n arrivals a second
    milliseconds duration;
    std::vector<double> others; ///< arrivals that each gateway learns
};

const SumRow SumRows[] = {
    {"a single gateway", OneZone, {"a"}, milliseconds(500), {0}},
    {"gateways of one zone know each other within two periods", OneZone, {"a", "a", "a"}, milliseconds(440), {6, 5, 3}},
    {"gateways of three zones", ThreeZones, {"a", "a", "b", "c"}, milliseconds(2'000), {14, 13, 11, 7}},
    {"a gateway in a zone without engines", ThreeZones, {"a", "d", "c"}, milliseconds(2'000), {6, 5, 3}},
    {"no engines", {}, {"a", "a"}, milliseconds(2'000), {0, 0}},
};

class FleetSums : public testing::TestWithParam<SumRow>
{
};

TEST_P(FleetSums, HoldTheDemandOfAllOtherGateways)
{
    const auto &row = GetParam();
    Fleet fleet(row.targets);
    double arrivals = 1;
    for (const auto *zone : row.zones) {
        fleet.add("g" + std::to_string(fleet.gateways.size()), zone, arrivals);
        arrivals *= 2;
    }
    fleet.run(row.duration);
    for (std::size_t index = 0; index < row.zones.size(); ++index) {
        const auto &last = fleet.gateways[index]->last;
        EXPECT_EQ(last.isKnown, !row.targets.empty()) << row.story;
        EXPECT_EQ(arrivalsIn(last), row.others[index]) << row.story << ", gateway " << index;
    }
}

INSTANTIATE_TEST_SUITE_P(All, FleetSums, testing::ValuesIn(SumRows));

struct ModeRow
{
    const char *story;
    DemandExchangeMode mode;
    bool isDifferentiated;
    double firstSize;
    double secondSize;
    bool isOn;
    int minCalls; ///< of the first gateway in 10 s
    int maxCalls;
};

// Guards against other deployments that pay for the full rate, and against a mode that differs between gateways.
const ModeRow ModeRows[] = {
    {"off", DemandExchangeMode::Off, true, 0.5, 0.1, false, 0, 0},
    {"neither ranks nor sizes differ", DemandExchangeMode::Auto, false, 0.5, 0.5, false, 4, 6},
    {"ranks differ", DemandExchangeMode::Auto, true, 0.5, 0.5, true, 48, 51},
    {"sizes differ", DemandExchangeMode::Auto, false, 0.75, 0.25, true, 40, 51},
    {"sizes differ a little", DemandExchangeMode::Auto, false, 0.75, 0.26, false, 4, 6},
    {"one is twice the other", DemandExchangeMode::Auto, false, 0.38, 0.19, false, 4, 6},
    {"a size is unknown", DemandExchangeMode::Auto, false, 0.5, 0, false, 4, 6},
};

class ExchangeModes : public testing::TestWithParam<ModeRow>
{
};

TEST_P(ExchangeModes, FollowTheRulesAndTheSizesOfTheGateways)
{
    const auto &row = GetParam();
    Fleet fleet(OneZone);
    auto &first = fleet.add("g1", "a", 1, row.firstSize, row.mode, row.isDifferentiated);
    auto &second = fleet.add("g2", "a", 2, row.secondSize, row.mode, row.isDifferentiated);
    fleet.run(milliseconds(10'000));
    EXPECT_EQ(first.last.isShared, row.isOn) << row.story;
    EXPECT_EQ(second.last.isShared, row.isOn) << row.story;
    EXPECT_GE(first.link.calls, row.minCalls) << row.story;
    EXPECT_LE(first.link.calls, row.maxCalls) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, ExchangeModes, testing::ValuesIn(ModeRows));

TEST(ExchangeModes, StayOnWhileTheOnlyLargeGatewayRestarts)
{
    Fleet fleet(OneZone);
    auto &small = fleet.add("g1", "a", 1, 0.125, DemandExchangeMode::Auto, false);
    auto &large = fleet.add("g2", "a", 2, 0.5, DemandExchangeMode::Auto, false);
    fleet.run(milliseconds(5'000));
    ASSERT_TRUE(small.last.isShared);
    large.exchange.leave();
    fleet.run(milliseconds(5'000));
    EXPECT_TRUE(small.last.isShared);
    EXPECT_EQ(small.last.gateways, 0);
    fleet.run(milliseconds(30'000));
    EXPECT_FALSE(small.last.isShared);
}

enum class Fault {
    Frozen,
    Restarted,
    Unsupporting,
    CutOff, ///< one of the gateways is cut off from the exchange point, so that the views are split
};

struct FaultRow
{
    const char *story;
    Fault fault;
    milliseconds duration; ///< after the fault, until the sums are checked
    bool mayFail; ///< whether calls fail
    std::vector<double> others; ///< arrivals that each gateway knows then
};

const FaultRow FaultRows[] = {
    {"the exchange point freezes", Fault::Frozen, milliseconds(800), true, {6, 5, 3}},
    {"the exchange point stays frozen", Fault::Frozen, milliseconds(20'000), true, {6, 5, 3}},
    {"the exchange point restarts with an empty table", Fault::Restarted, milliseconds(420), false, {6, 5, 3}},
    {"the sidecar is replaced by one of an earlier version", Fault::Unsupporting, milliseconds(800), true, {6, 5, 3}},
    {"one gateway is cut off from the exchange point: each sees a part",
     Fault::CutOff,
     milliseconds(3'000),
     true,
     {0, 4, 2}},
};

class ExchangePointFaults : public testing::TestWithParam<FaultRow>
{
};

TEST_P(ExchangePointFaults, LeaveDemandKnown)
{
    const auto &row = GetParam();
    Fleet fleet(OneZone);
    for (int index = 0; index < 3; ++index) {
        fleet.add("g" + std::to_string(index), "a", 1 << index);
    }
    fleet.run(milliseconds(1'000));
    const auto point = fleet.busiestExchangePoint();
    switch (row.fault) {
    case Fault::Frozen:
        fleet.sidecars.silent.insert(point);
        break;
    case Fault::Restarted:
        fleet.sidecars.restart(point);
        break;
    case Fault::Unsupporting:
        fleet.sidecars.unsupporting.insert(point);
        break;
    case Fault::CutOff:
        fleet.gateways.front()->link.cutOff.insert(point);
        break;
    }
    fleet.run(row.duration);
    for (std::size_t index = 0; index < 3; ++index) {
        const auto &gateway = *fleet.gateways[index];
        EXPECT_TRUE(gateway.last.isKnown) << row.story;
        EXPECT_FALSE(gateway.wasUnknown) << row.story << ", gateway " << index;
        EXPECT_EQ(arrivalsIn(gateway.last), row.others[index]) << row.story << ", gateway " << index;
        const bool isAffected = row.mayFail && (row.fault != Fault::CutOff || index == 0);
        EXPECT_EQ(gateway.failures > 0, isAffected) << row.story << ", gateway " << index;
    }
}

INSTANTIATE_TEST_SUITE_P(All, ExchangePointFaults, testing::ValuesIn(FaultRows));

// Guards against decisions that go on with the demand of gateways that nobody has heard of since.
TEST(LostExchange, MakesDemandUnknownWhenItExpires)
{
    Fleet fleet(OneZone);
    auto &gateway = fleet.add("g0", "a", 1);
    fleet.add("g1", "a", 2);
    fleet.run(milliseconds(1'000));
    ASSERT_TRUE(gateway.last.isKnown);
    for (const auto &target : OneZone) {
        gateway.link.cutOff.insert(target.id);
    }
    fleet.run(milliseconds(1'200));
    EXPECT_TRUE(gateway.exchange.demand(fleet.sidecars.now).isKnown);
    EXPECT_EQ(arrivalsIn(gateway.exchange.demand(fleet.sidecars.now)), 2);
    fleet.run(milliseconds(520));
    EXPECT_FALSE(gateway.last.isKnown) << "changed() reports that demand has become unknown";
    EXPECT_TRUE(gateway.last.isShared);
    EXPECT_EQ(gateway.last.gateways, 0);
    EXPECT_TRUE(gateway.last.services.empty());
    gateway.link.cutOff.clear();
    fleet.run(milliseconds(4'500));
    EXPECT_TRUE(gateway.last.isKnown);
    EXPECT_EQ(arrivalsIn(gateway.last), 2);
}

TEST(LostExchange, WithAllSidecarsOfAnEarlierVersionLeavesDemandUnknown)
{
    Fleet fleet(OneZone);
    auto &gateway = fleet.add("g0", "a", 1);
    for (const auto &target : OneZone) {
        fleet.sidecars.unsupporting.insert(target.id);
    }
    fleet.run(milliseconds(20'000));
    EXPECT_FALSE(gateway.hasBeenKnown);
    EXPECT_LE(gateway.link.calls, 24) << "each sidecar is asked once in 4 s";
}

TEST(LostExchange, OfOneZoneLeavesThatZoneOut)
{
    Fleet fleet(ThreeZones);
    auto &gateway = fleet.add("g0", "a", 1);
    fleet.add("g1", "b", 2);
    fleet.add("g2", "c", 4);
    fleet.run(milliseconds(2'000));
    ASSERT_EQ(arrivalsIn(gateway.last), 6);
    fleet.sidecars.silent = {TargetName("t4"), TargetName("t5")};
    fleet.run(milliseconds(4'000));
    EXPECT_TRUE(gateway.last.isKnown);
    EXPECT_EQ(gateway.last.gateways, 1);
    EXPECT_EQ(arrivalsIn(gateway.last), 2);
    EXPECT_LT(gateway.last.age, milliseconds(1'500)) << "a part that is left out does not count for the age";
}

TEST(GatewaysThatEnd, AreForgotten)
{
    Fleet fleet(OneZone);
    auto &gateway = fleet.add("g0", "a", 1);
    auto &leaving = fleet.add("g1", "a", 2);
    fleet.add("g2", "a", 4);
    fleet.run(milliseconds(1'000));
    leaving.exchange.leave();
    fleet.run(milliseconds(240));
    EXPECT_EQ(arrivalsIn(gateway.last), 4) << "one that leaves, within a period";
    fleet.gateways.pop_back();
    fleet.run(milliseconds(1'400));
    EXPECT_EQ(gateway.last.gateways, 1) << "one that dies, not before its statement expires";
    EXPECT_TRUE(gateway.last.isKnown);
    fleet.run(milliseconds(400));
    EXPECT_EQ(gateway.last.gateways, 0);
    EXPECT_FALSE(gateway.wasUnknown) << "the death of one gateway leaves the demand of the others known";
}

struct LeaveRow
{
    const char *story;
    /** Brings the sidecars into the state in which @p leaving ends. @p point is the exchange point so far. */
    std::function<void(Fleet &fleet, Gateway &leaving, const TargetName &point)> disturb;
    int calls; ///< that tell sidecars of the end
};

const LeaveRow LeaveRows[] = {
    {"the exchange point is well", [](Fleet &, Gateway &, const TargetName &) {}, 1},
    {"all calls have failed since, so that no sidecar counts as the exchange point",
     [](Fleet &fleet, Gateway &leaving, const TargetName &) {
         for (const auto &target : fleet.targets) {
             leaving.link.cutOff.insert(target.id);
         }
         fleet.run(milliseconds(1'200));
         leaving.link.cutOff.clear();
     },
     4},
    {"one call has failed since, so that another sidecar is the exchange point",
     [](Fleet &fleet, Gateway &leaving, const TargetName &point) {
         leaving.link.cutOff.insert(point);
         fleet.run(milliseconds(600));
         leaving.link.cutOff.clear();
     },
     2},
    {"a sidecar was the exchange point longer ago than a statement counts",
     [](Fleet &fleet, Gateway &leaving, const TargetName &point) {
         leaving.link.cutOff.insert(point);
         fleet.run(milliseconds(3'000));
         leaving.link.cutOff.clear();
     },
     1},
};

class LeavingGateways : public testing::TestWithParam<LeaveRow>
{
};

// Guards against a gateway that has stopped and still counts at a sidecar, because a call to that sidecar failed before
// and the sidecar was therefore not told.
TEST_P(LeavingGateways, CountAtNoSidecar)
{
    const auto &row = GetParam();
    Fleet fleet(OneZone);
    auto &leaving = fleet.add("g0", "a", 1);
    fleet.run(milliseconds(1'000));
    row.disturb(fleet, leaving, fleet.busiestExchangePoint());
    const auto before = leaving.link.calls;
    int left = 0;
    leaving.exchange.leave([&left] { ++left; });
    EXPECT_EQ(leaving.link.calls - before, row.calls) << row.story;
    EXPECT_EQ(left, 1) << row.story;
    for (const auto &target : fleet.targets) {
        const auto sum = fleet.sidecars.table(target).ownZone({}, MaxDemandWorkspaces, fleet.sidecars.now);
        EXPECT_EQ(sum.gateways, 0) << row.story << ", sidecar " << target.id.text();
    }
}

INSTANTIATE_TEST_SUITE_P(All, LeavingGateways, testing::ValuesIn(LeaveRows));

// Guards against a process that ends before the sidecar knows that it leaves, and against one that waits for a sidecar
// without end.
TEST(LeavingGateways, HaveLeftOnceAllCallsHaveEnded)
{
    Fleet fleet(OneZone);
    auto &leaving = fleet.add("g0", "a", 1);
    fleet.run(milliseconds(1'000));
    fleet.sidecars.silent.insert(fleet.busiestExchangePoint());
    int left = 0;
    leaving.exchange.leave([&left] { ++left; });
    fleet.run(CallTimeout - Tick * 2);
    EXPECT_EQ(left, 0);
    fleet.run(Tick * 3);
    EXPECT_EQ(left, 1);
    leaving.exchange.leave([&left] { ++left; });
    EXPECT_EQ(left, 2) << "at once, since the exchange has ended";
}

TEST(RestartedGateways, ReplaceTheirEarlierRun)
{
    Fleet fleet(OneZone);
    auto &gateway = fleet.add("g0", "a", 1);
    fleet.add("g1", "a", 2);
    fleet.run(milliseconds(5'000));
    fleet.gateways.pop_back();
    fleet.add("g1", "a", 8);
    fleet.run(milliseconds(440));
    EXPECT_EQ(gateway.last.gateways, 1);
    EXPECT_EQ(arrivalsIn(gateway.last), 8);
}

struct PeriodRow
{
    double inZone; ///< gateways according to the log
    milliseconds period;
};

const PeriodRow PeriodRows[] = {
    {1, milliseconds(200)},
    {20, milliseconds(200)},
    {72, milliseconds(720)},
    {1e9, milliseconds(10'240)},
};

class Periods : public testing::TestWithParam<PeriodRow>
{
};

// Guards against an exchange point that is flooded by the gateways of a large zone.
TEST_P(Periods, GrowWithTheGatewaysOfTheZone)
{
    Fleet fleet(OneZone);
    auto &gateway = fleet.add("g0", "a", 1);
    gateway.exchange.setKnownGateways({.all = GetParam().inZone, .inZone = GetParam().inZone});
    fleet.run(milliseconds(100));
    EXPECT_EQ(gateway.exchange.status(fleet.sidecars.now).period, GetParam().period);
}

INSTANTIATE_TEST_SUITE_P(All, Periods, testing::ValuesIn(PeriodRows));

TEST(Statements, WaitForTheDemandThatTheyAskFor)
{
    FakeSidecars sidecars;
    FakeLink link(sidecars);
    int asked = 0;
    DemandExchange exchange(link, {.gateway = ProcessName("g"), .zone = ZoneName("a")},
                            {.demandNeeded = [&asked] { ++asked; }});
    exchange.setTargets(OneZone);
    exchange.setOwnDemand({});
    exchange.tick(Start);
    exchange.tick(Start + Tick);
    EXPECT_EQ(asked, 1);
    EXPECT_EQ(link.calls, 0);
    exchange.setOwnDemand({});
    EXPECT_EQ(link.calls, 1);
    exchange.setOwnDemand({});
    EXPECT_EQ(link.calls, 1) << "only the demand that a statement waits for is sent at once";
}

} // namespace
