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
    EXPECT_TRUE(control.waitsBehind(queue, {.service = Plain, .priority = 1}, Start));
}

// Guards against a stream of a high rank that waits behind lower ones although there is capacity for it.
TEST(AdmissionControls, LetNewStreamsPassLowerRanks)
{
    Metrics metrics;
    AdmissionControl control(metrics);
    control.setConfig(makeConfig());
    StreamQueue queue;
    queue.enqueue({.number = 1, .service = Ranked, .onTimeUntil = Start, .rank = 2}, Start);
    EXPECT_FALSE(control.waitsBehind(queue, {.service = Ranked, .priority = 0}, Start));
    EXPECT_TRUE(control.waitsBehind(queue, {.service = Ranked, .priority = 2}, Start));
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

FleetDemand quietElsewhere()
{
    FleetDemand demand{.isKnown = true, .isShared = true, .gateways = 1};
    for (const auto &service : {Ranked, Plain}) {
        ServiceDemand others{.service = service, .ranks = {{2, {.arrivalsPerSecond = 10, .waiting = 10}}}};
        others.workspaces = {{.workspace = WorkspaceName("quiet"), .arrivalsPerSecond = 10}};
        demand.services.push_back(std::move(others));
    }
    return demand;
}

struct ShareRow
{
    const char *description;
    ServiceName service;
    FleetDemand fleet;
    int sentEach; ///< one of so many streams of the loud workspace is sent
    bool isOverShare;
};

const ShareRow ShareRows[] = {
    {"a shortage where the gateways share their demand", Plain, quietElsewhere(), 4, true},
    {"a shortage where rank admission is in force", Ranked, quietElsewhere(), 4, true},
    {"all streams are sent", Plain, quietElsewhere(), 1, false},
    {"one workspace and unknown demand of others", Ranked, notKnown(quietElsewhere()), 4, false},
    {"neither ranks nor shared demand", Plain, notShared(quietElsewhere()), 4, false},
};

class WorkspaceShareRules : public testing::TestWithParam<ShareRow>
{
};

/** Records 3 s of arrivals of the workspace "loud", 100 per second, of which one in @p sentEach is sent. */
std::vector<DemandMeter::Stream> recordLoudArrivals(AdmissionControl &control, const ServiceName &service, int sentEach)
{
    std::vector<DemandMeter::Stream> waiting;
    for (int arrival = 0; arrival < 300; ++arrival) {
        const auto now = Start + arrival * 10ms;
        auto stream =
            control.recordArrival({.service = service, .priority = 2, .workspace = WorkspaceName("loud")}, now);
        if (arrival % sentEach == 0) {
            control.recordSent(service, 2, now);
        } else {
            stream.setWaiting();
            waiting.push_back(std::move(stream));
        }
    }
    return waiting;
}

// Guards against shares in deployments that do not call for them, and against a loud workspace that goes unnoticed
// because its gateway does not consider the demand of the others.
TEST_P(WorkspaceShareRules, AreInForceForSharedOrRankedServices)
{
    const auto &row = GetParam();
    Metrics metrics;
    AdmissionControl control(metrics);
    control.setConfig(makeConfig());
    control.setFleetDemand(row.fleet);
    const auto waiting = recordLoudArrivals(control, row.service, row.sentEach);
    EXPECT_EQ(control.isOverShare(row.service, WorkspaceName("loud")), row.isOverShare) << row.description;
    EXPECT_FALSE(control.isOverShare(row.service, WorkspaceName("quiet")));
    auto &gauge = metrics.gauge("heatherridge_workspaces_over_share");
    EXPECT_EQ(gauge.value(), row.isOverShare ? 1 : 0);
    control.tick(Start + 10s);
    EXPECT_EQ(gauge.value(), 0);
    EXPECT_FALSE(control.isOverShare(row.service, WorkspaceName("loud")));
}

INSTANTIATE_TEST_SUITE_P(All, WorkspaceShareRules, testing::ValuesIn(ShareRows));

// Guards against streams of quiet workspaces that wait behind those of one over its share, or are refused because of
// them.
TEST(AdmissionControls, LetNewStreamsPassWorkspacesOverTheirShare)
{
    Metrics metrics;
    AdmissionControl control(metrics);
    control.setConfig(makeConfig());
    control.setFleetDemand(quietElsewhere());
    const auto waiting = recordLoudArrivals(control, Ranked, 4);
    const auto now = Start + 3s;
    StreamQueue queue;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        queue.enqueue({.number = number, .service = Ranked, .onTimeUntil = now + 1s, .rank = 2, .isOverShare = true},
                      now);
    }
    const DemandMeter::StreamClass loud{.service = Ranked, .priority = 2, .workspace = WorkspaceName("loud")};
    const DemandMeter::StreamClass quiet{.service = Ranked, .priority = 2, .workspace = WorkspaceName("quiet")};
    EXPECT_TRUE(control.waitsBehind(queue, loud, now));
    EXPECT_FALSE(control.waitsBehind(queue, quiet, now));
    const WaitingStream stream{.service = Ranked, .rank = 2};
    EXPECT_EQ(queue.partBehind(stream), 1);
    EXPECT_EQ(queue.partBehind({.service = Ranked, .rank = 2, .isOverShare = true}), 0);
    control.mayAdmit(Ranked, 2, {.room = 10, .pass = 100ms}, now);
    const auto wait = control.expectedWait(Ranked, 2, now);
    ASSERT_TRUE(wait);
    EXPECT_GT(*wait, 0ms);
    EXPECT_EQ(control.expectedWait(Ranked, 2, now, queue.partBehind(stream)), 0ms);
}

struct RefusalRow
{
    const char *description;
    ServiceName service;
    bool lacksCapacity;
    double waitingElsewhere; ///< streams of the highest rank
    int sentPerSecond; ///< by this gateway, which has half of the capacity
    std::chrono::milliseconds minDelay;
    std::chrono::milliseconds maxDelay;
};

constexpr auto PresentDelay = 500ms;

const RefusalRow RefusalRows[] = {
    {"a service without ranks", Plain, true, 40, 20, PresentDelay, PresentDelay},
    {"a refusal for another reason than capacity", Ranked, false, 40, 20, PresentDelay, PresentDelay},
    {"no stream was sent yet", Ranked, true, 40, 0, 500ms, 750ms},
    {"no stream waits", Ranked, true, 0, 20, 100ms, 160ms},
    {"streams wait at other gateways", Ranked, true, 40, 20, 900ms, 1'200ms},
    {"more wait than are admitted in the caller's time", Ranked, true, 4'000, 20, 1'000ms, 2'000ms},
};

class RefusedStreams : public testing::TestWithParam<RefusalRow>
{
};

// Guards against retry delays that ignore the streams ahead, and against changed delays where rank admission is not in
// force.
TEST_P(RefusedStreams, AreToldADelayByTheStreamsAhead)
{
    const auto &row = GetParam();
    Metrics metrics;
    SeededRandom random(1);
    AdmissionControl control(metrics);
    control.setConfig(makeConfig());
    control.setFleetDemand(waitingElsewhere(row.waitingElsewhere));
    control.setKnownGateways(2);
    auto now = Start;
    for (int sent = 0; sent < row.sentPerSecond * 4; ++sent) {
        now += 1'000ms / row.sentPerSecond;
        control.mayAdmit(row.service, 0, {.room = 100, .pass = 100ms, .share = 0.5}, now);
        control.recordSent(row.service, 0, now);
    }
    const auto refused = control.refuse(
        {.kind = ErrorKind::Overloaded, .detail = "all targets are full", .retryAfter = PresentDelay},
        {.service = row.service, .match = {.rank = 0}, .lacksCapacity = row.lacksCapacity, .remainingTime = 6s}, now,
        random);
    EXPECT_EQ(refused.kind, ErrorKind::Overloaded);
    EXPECT_EQ(refused.detail, "all targets are full");
    ASSERT_TRUE(refused.retryAfter);
    EXPECT_GE(*refused.retryAfter, row.minDelay) << row.description;
    EXPECT_LE(*refused.retryAfter, row.maxDelay) << row.description;
    const bool isScheduled = metrics.exposition().find("heatherridge_return_delay_seconds_count") != std::string::npos;
    EXPECT_EQ(isScheduled, row.service == Ranked && row.lacksCapacity) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, RefusedStreams, testing::ValuesIn(RefusalRows));

// Guards against refused callers that return together: each is told a later time than the one before.
TEST(RefusedCallers, ReturnOneAfterTheOther)
{
    Metrics metrics;
    SeededRandom random(1);
    AdmissionControl control(metrics);
    control.setConfig(makeConfig());
    auto now = Start;
    for (int sent = 0; sent < 80; ++sent) {
        now += 50ms;
        control.mayAdmit(Ranked, 0, {.room = 100, .pass = 100ms}, now);
        control.recordSent(Ranked, 0, now);
    }
    std::chrono::milliseconds last{0};
    for (int refused = 0; refused < 20; ++refused) {
        const auto error = control.refuse(
            {.kind = ErrorKind::Overloaded},
            {.service = Ranked, .match = {.rank = 0}, .lacksCapacity = true, .remainingTime = 60s}, now, random);
        EXPECT_GE(*error.retryAfter, last);
        last = *error.retryAfter;
    }
    EXPECT_GE(last, 900ms);
    EXPECT_LE(last, 1'300ms);
}

} // namespace
