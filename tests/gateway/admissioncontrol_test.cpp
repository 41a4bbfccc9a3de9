#include "heatherridge_transport/direct/admissioncontrol.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start(1h);
const ServiceName Ranked("ranked");
const ServiceName Plain("plain");

RouteRule streamRoute(const ServiceName &service, int priority)
{
    return {.kind = RequestKind::EventStream, .priority = priority, .services = {{.service = service}}};
}

RoutingConfig makeConfig()
{
    return {.routes = {streamRoute(Ranked, 0), streamRoute(Ranked, 2), streamRoute(Plain, 1)}};
}

FleetDemand waitingElsewhere(double waiting)
{
    return {.isKnown = true,
            .isShared = true,
            .gateways = 2,
            .services = {{.service = Ranked, .ranks = {{0, {.waiting = waiting}}}},
                         {.service = Plain, .ranks = {{0, {.waiting = waiting}}}}}};
}

struct ControlRow
{
    const char *description;
    ServiceName service;
    FleetDemand fleet;
    int knownGateways;
    double room;
    bool mayAdmit; ///< a stream of rank 2
};

FleetDemand notShared(FleetDemand demand)
{
    demand.isShared = false;
    return demand;
}

FleetDemand notKnown(FleetDemand demand)
{
    demand.isKnown = false;
    return demand;
}

const ControlRow ControlRows[] = {
    {"streams of a higher rank wait at other gateways", Ranked, waitingElsewhere(4), 2, 4, false},
    {"capacity is left", Ranked, waitingElsewhere(4), 2, 5, true},
    {"gateways that have stated nothing count as average ones", Ranked, waitingElsewhere(4), 4, 8, false},
    {"fewer gateways are known than have stated their demand", Ranked, waitingElsewhere(4), 1, 5, true},
    {"a service without ranks", Plain, waitingElsewhere(4), 2, 4, true},
    {"decisions do not use the demand of others", Ranked, notShared(waitingElsewhere(4)), 2, 4, true},
    {"unknown demand", Ranked, notKnown(waitingElsewhere(4)), 2, 4, true},
};

class AdmissionControls : public testing::TestWithParam<ControlRow>
{
};

// Guards against rank admission in deployments without ranks, and against decisions by demand that is out of date.
TEST_P(AdmissionControls, HoldLowerRanksByTheDemandOfAllGateways)
{
    const auto &row = GetParam();
    Metrics metrics;
    AdmissionControl control(metrics);
    control.setConfig(makeConfig());
    control.setFleetDemand(row.fleet);
    control.setKnownGateways(row.knownGateways);
    const RankAdmission::Capacity capacity{.room = row.room, .pass = 100ms, .share = 0.5};
    EXPECT_EQ(control.mayAdmit(row.service, 2, capacity, Start), row.mayAdmit) << row.description;
    EXPECT_EQ(metrics.gauge("heatherridge_rank_held", R"(rank="2")").value(), row.mayAdmit ? 0 : 1);
}

INSTANTIATE_TEST_SUITE_P(All, AdmissionControls, testing::ValuesIn(ControlRows));

// Guards against another order of waiting streams, or other waits, for services whose streams have one priority.
TEST(AdmissionControls, LeaveServicesWithoutRanksAlone)
{
    Metrics metrics;
    AdmissionControl control(metrics);
    control.setConfig(makeConfig());
    EXPECT_TRUE(control.admitsByRank(Ranked));
    EXPECT_FALSE(control.admitsByRank(Plain));
    EXPECT_EQ(control.queueRank(Ranked, 2), 2);
    EXPECT_EQ(control.queueRank(Plain, 1), 0);
    const WaitingStream stream{.number = 1, .service = Plain, .onTimeUntil = Start};
    EXPECT_EQ(control.queueClass(stream, Start), QueueClass::InOrder);
    EXPECT_EQ(control.expectedWait(Plain, 1, Start), std::nullopt);
    control.recordSent(Plain, 1, Start);
    control.recordRefused(Plain, 1);
    EXPECT_EQ(metrics.counter("heatherridge_streams_sent_total", R"(rank="1")").value(), 0U);
    EXPECT_EQ(metrics.counter("heatherridge_streams_refused_total", R"(rank="1")").value(), 0U);
    StreamQueue queue;
    queue.enqueue(stream, Start);
    EXPECT_TRUE(control.waitsBehind(queue, Plain, 1, Start));
}

// Guards against a stream of a high rank that waits behind lower ones although there is capacity for it.
TEST(AdmissionControls, LetNewStreamsPassLowerRanks)
{
    Metrics metrics;
    AdmissionControl control(metrics);
    control.setConfig(makeConfig());
    StreamQueue queue;
    queue.enqueue({.number = 1, .service = Ranked, .onTimeUntil = Start, .rank = 2}, Start);
    EXPECT_FALSE(control.waitsBehind(queue, Ranked, 0, Start));
    EXPECT_TRUE(control.waitsBehind(queue, Ranked, 2, Start));
}

// Guards against holds that outlive the configuration, and against counters that operators cannot tell by rank.
TEST(AdmissionControls, CountByRankAndForgetServicesWithoutRanks)
{
    Metrics metrics;
    AdmissionControl control(metrics);
    control.setConfig(makeConfig());
    control.setFleetDemand(waitingElsewhere(4));
    auto &held = metrics.gauge("heatherridge_rank_held", R"(rank="2")");
    control.mayAdmit(Ranked, 2, {.room = 4, .pass = 100ms}, Start);
    EXPECT_EQ(held.value(), 1);
    control.setConfig(makeConfig());
    EXPECT_EQ(held.value(), 1);
    control.recordSent(Ranked, 0, Start);
    control.recordRefused(Ranked, 12);
    EXPECT_EQ(metrics.counter("heatherridge_streams_sent_total", R"(rank="0")").value(), 1U);
    EXPECT_EQ(metrics.counter("heatherridge_streams_refused_total", R"(rank="9")").value(), 1U);
    control.setConfig({});
    EXPECT_EQ(held.value(), 0);
    EXPECT_FALSE(control.admitsByRank(Ranked));
    control.setConfig(makeConfig());
    control.mayAdmit(Ranked, 2, {.room = 4, .pass = 100ms}, Start);
    EXPECT_EQ(held.value(), 1);
    control.tick(Start + 2s);
    EXPECT_EQ(held.value(), 0);
}

} // namespace
