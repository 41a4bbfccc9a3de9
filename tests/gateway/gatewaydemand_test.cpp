#include "gateway/gatewayfixture.h"
#include "heatherridge_protocol/demandmessage.h"
#include "heatherridge_transport/direct/gatewaydemand.h"
#include "heatherridge_transport/direct/sidecarserver.h"
#include "support/stubrankcontrol.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace Heatherridge;

namespace
{

using std::chrono::milliseconds;

std::unique_ptr<SidecarServer> startSidecar(Endpoint &endpoint)
{
    auto sidecar = std::make_unique<SidecarServer>(
        SidecarServer::Options{.zone = ZoneName("z"), .listen = {.address = "127.0.0.1"}},
        [](HttpClient &) { return std::make_unique<StubRankControl>(); });
    const auto listening = sidecar->start();
    EXPECT_EQ(errorIn(listening), nullptr);
    endpoint = std::get<std::vector<Endpoint>>(listening).front();
    return sidecar;
}

/** Rules with two ranks for service "s". */
RoutingConfig rankedRules()
{
    RoutingConfig config{.services = {{.name = ServiceName("s"), .engine = EngineProfile{}}}};
    for (int priority = 0; priority < 2; ++priority) {
        config.routes.push_back({.kind = RequestKind::EventStream,
                                 .priority = priority,
                                 .services = {{.service = ServiceName("s")}},
                                 .isPublic = true});
    }
    return config;
}

const std::vector<TargetEntry> Targets{{.id = TargetName("t"),
                                        .service = ServiceName("s"),
                                        .address = {.address = "127.0.0.1", .port = 1},
                                        .zone = ZoneName("z")}};

/** The exchange of one gateway. */
struct TestGateway
{
    TestGateway(asio::io_context &loop, const std::string &name, int sidecarPort, double arrivalsPerSecond)
        : client(loop, {})
        , demand(client,
                 {.exchange =
                      {.gateway = ProcessName(name), .zone = ZoneName("z"), .size = {.processorShare = 0.5}, .run = 1},
                  .sidecarPort = sidecarPort},
                 {.changed = [this](FleetDemand changed) { last = std::move(changed); },
                  .demandNeeded =
                      [this, arrivalsPerSecond] {
                          demand.setOwnDemand({{.service = ServiceName("s"),
                                                .ranks = {{1, {.arrivalsPerSecond = arrivalsPerSecond, .waiting = 2}}},
                                                .workspaces = {{.workspace = WorkspaceName("w"), .inFlight = 3}}}});
                      }},
                 metrics)
    {
        demand.update(rankedRules(), Targets);
    }

    Metrics metrics;
    HttpClient client;
    FleetDemand last{};
    GatewayDemand demand;
};

/** Drives both gateways until @p isDone, for at most 5 s. */
bool runUntil(asio::io_context &loop, const std::vector<TestGateway *> &gateways, const std::function<bool()> &isDone)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!isDone() && std::chrono::steady_clock::now() < end) {
        for (auto *gateway : gateways) {
            gateway->demand.tick(std::chrono::steady_clock::now(), {});
        }
        loop.restart();
        loop.run_for(milliseconds(10));
    }
    return isDone();
}

// Guards against messages that one side sends and the other does not read.
TEST(DemandThroughASidecar, ReachesTheOtherGateway)
{
    Endpoint endpoint;
    const auto sidecar = startSidecar(endpoint);
    asio::io_context loop;
    TestGateway first(loop, "g1", endpoint.port, 4);
    TestGateway second(loop, "g2", endpoint.port, 8.5);
    ASSERT_TRUE(
        runUntil(loop, {&first, &second}, [&] { return first.last.gateways == 1 && second.last.gateways == 1; }));
    EXPECT_TRUE(first.last.isKnown);
    EXPECT_TRUE(first.last.isShared);
    EXPECT_EQ(first.last.largestProcessorShare, 0.5);
    ASSERT_EQ(first.last.services.size(), 1U);
    EXPECT_EQ(first.last.services.front().ranks.at(1), (RankDemand{.arrivalsPerSecond = 8.5, .waiting = 2}));
    ASSERT_EQ(first.last.services.front().workspaces.size(), 1U);
    EXPECT_EQ(first.last.services.front().workspaces.front().inFlight, 3);
    EXPECT_EQ(first.metrics.gauge("heatherridge_demand_gateways").value(), 1);
    second.demand.leave();
    EXPECT_TRUE(runUntil(loop, {&first, &second}, [&] { return first.last.gateways == 0; }));
    sidecar->drainAndStop();
}

TEST(DemandThroughASidecar, IsUnknownWhereNothingListens)
{
    Endpoint endpoint;
    startSidecar(endpoint)->drainAndStop();
    asio::io_context loop;
    TestGateway gateway(loop, "g1", endpoint.port, 4);
    auto &failed = gateway.metrics.counter("heatherridge_demand_calls_total", R"(result="failed")");
    EXPECT_TRUE(runUntil(loop, {&gateway}, [&] { return failed.value() > 0; }));
    EXPECT_FALSE(gateway.last.isKnown);
}

/** Returns the sum that the sidecar at @p endpoint has of its own zone. */
ZoneDemand sumAt(const Endpoint &endpoint)
{
    const auto body = encode(DemandRequest{});
    RawCaller caller(endpoint);
    caller.send("POST /fleet/demand HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body);
    const auto response = decodeDemandResponse(caller.receive().body);
    return errorIn(response) == nullptr ? std::get<DemandResponse>(response).ownZone : ZoneDemand{};
}

// Guards against a gateway that does not take part, and against one whose demand still counts after it has stopped.
TEST(DemandThroughASidecar, IsStatedByAGatewayUntilItStops)
{
    Endpoint endpoint;
    const auto sidecar = startSidecar(endpoint);
    const ScriptedTarget target([](const std::string &, int) { return std::vector<TargetAction>{}; });
    GatewayFixture gateway({&target}, {.sidecarPort = endpoint.port});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (sumAt(endpoint).gateways == 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    const auto sum = sumAt(endpoint);
    EXPECT_EQ(sum.gateways, 1);
    EXPECT_EQ(sum.largestProcessorShare, 0.5);
    gateway.beginStop();
    gateway.awaitStop();
    EXPECT_EQ(sumAt(endpoint).gateways, 0) << "its statement is valid for 6 s unless it says that it leaves";
    sidecar->drainAndStop();
}

// Guards against a process that ends before a busy sidecar has taken in that the gateway leaves.
TEST(DemandThroughASidecar, IsWithdrawnBeforeTheProcessEnds)
{
    constexpr milliseconds sidecarDelay{100};
    std::atomic<bool> hasStated{false};
    std::atomic<bool> hasLeft{false};
    const auto script = [&](const std::string &request, int) {
        const auto message = decodeDemandRequest(request.substr(request.find("\r\n\r\n") + 4));
        const auto *demand = std::get_if<DemandRequest>(&message);
        if (demand == nullptr) {
            return std::vector<TargetAction>{
                {.bytes = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"}}; // not a message on demand
        }
        if (demand->statement && demand->statement->isLeaving) {
            std::this_thread::sleep_for(sidecarDelay);
            hasLeft = true;
        }
        hasStated = hasStated || demand->statement;
        const auto body = encode(DemandResponse{.ownZone = {.zone = ZoneName("z")}});
        return std::vector<TargetAction>{
            {.bytes = "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body}};
    };
    const ScriptedTarget sidecar(script);
    const ScriptedTarget target([](const std::string &, int) { return std::vector<TargetAction>{}; });
    GatewayFixture gateway({&target}, {.sidecarPort = sidecar.endpoint().port});
    while (!hasStated) {
        std::this_thread::sleep_for(milliseconds(20)); // bounded by the time limit of the test program
    }
    gateway.beginStop();
    gateway.awaitStop();
    EXPECT_TRUE(hasLeft);
}

struct BodyRow
{
    const char *story;
    std::string body;
    int status;
};

const BodyRow BodyRows[] = {
    {"a query", encode(DemandRequest{}), 200},
    {"a statement", encode(DemandRequest{.statement = GatewayStatement{.gateway = ProcessName("g")}}), 200},
    {"a later format", std::string("\x84\x02\xf6\x01\x80"), 400},
    {"no CBOR", "hello", 400},
    {"nothing", "", 400},
};

class SidecarDemandBodies : public testing::TestWithParam<BodyRow>
{
};

TEST_P(SidecarDemandBodies, AreAnsweredOrRejected)
{
    Endpoint endpoint;
    const auto sidecar = startSidecar(endpoint);
    const auto &body = GetParam().body;
    RawCaller caller(endpoint);
    caller.send("POST /fleet/demand HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body);
    EXPECT_EQ(caller.receive().status, GetParam().status) << GetParam().story;
    sidecar->drainAndStop();
}

INSTANTIATE_TEST_SUITE_P(All, SidecarDemandBodies, testing::ValuesIn(BodyRows));

} // namespace
