#include "gateway/gatewayfixture.h"
#include "heatherridge_transport/direct/gatewaytraffic.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const ServiceName Service("s");

/** A request of a caller that reads whatever is sent. */
class StubExchange final : public HttpExchange
{
public:
    StubExchange(const std::string &path, const std::string &id)
        : m_request{.method = "GET",
                    .path = path,
                    .target = path,
                    .headers = {{"Host", "h"}, {"X-Heatherridge-Request-Id", id}}}
    {
    }

    const HttpRequest &request() const override
    {
        return m_request;
    }

    void respond(HttpResponse response) override
    {
        status = response.status;
    }

    void beginStream(int streamStatus, const std::vector<HttpHeader> &) override
    {
        status = streamStatus;
    }

    void write(std::string, WriteCallback done) override
    {
        done(true);
    }

    void end() override
    {
    }

    void abort() override
    {
    }

    void onClosed(std::function<void()> callback) override
    {
        closed = std::move(callback);
    }

    int status = 0; ///< 0 until an answer has begun
    std::function<void()> closed;

private:
    HttpRequest m_request;
};

/** Sends the first event of a stream and keeps the stream open. */
std::vector<TargetAction> beginStream(const std::string &request, int)
{
    return {
        {.bytes = "HTTP/1.1 200 OK\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
             + "\r\nX-Heatherridge-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"
               "id: 1\ndata: piece\n\n"},
        {.kind = TargetAction::Kind::AwaitClose}};
}

/** The traffic state of a gateway whose routes are those of GatewayFixture. */
struct Traffic
{
    Traffic()
    {
        traffic.setTable(std::make_shared<RouteTable>(GatewayFixture::defaultConfig()));
    }

    ~Traffic()
    {
        traffic.stop();
        loop.restart();
        loop.run_for(10ms);
    }

    /** Returns the streams of this gateway, whatever their rank. */
    RankDemand streams() const
    {
        RankDemand sum;
        for (const auto &service : traffic.demand(std::chrono::steady_clock::now())) {
            for (const auto &[priority, rank] : service.ranks) {
                sum.arrivalsPerSecond += rank.arrivalsPerSecond;
                sum.waiting += rank.waiting;
                sum.inProgress += rank.inProgress;
            }
        }
        return sum;
    }

    bool runUntil(const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            loop.restart();
            loop.run_for(5ms);
        }
        return isDone();
    }

    void setTarget(const ScriptedTarget &target)
    {
        traffic.setTargets({{.id = TargetName("t"),
                             .service = Service,
                             .address = target.endpoint(),
                             .zone = ZoneName("z"),
                             .slots = 8}});
    }

    asio::io_context loop;
    Metrics metrics;
    PlatformTraffic codec;
    GatewayTraffic traffic{loop, {.zone = ZoneName("z")}, codec, metrics};
};

// Guards against a stream that is not counted, or still counted after its end, in one of its states: the other gateways
// would leave it too little or too much of the capacity.
TEST(StreamDemand, FollowsAStreamFromItsArrivalToItsEnd)
{
    const ScriptedTarget target(beginStream);
    Traffic gateway;
    const auto exchange = std::make_shared<StubExchange>("/stream/1", "r1");
    gateway.traffic.handle(exchange);
    EXPECT_GT(gateway.streams().arrivalsPerSecond, 0.9);
    EXPECT_EQ(gateway.streams().waiting, 1) << "no target is registered";
    EXPECT_EQ(gateway.streams().inProgress, 0);
    gateway.setTarget(target);
    EXPECT_TRUE(gateway.runUntil([&] { return exchange->status == 200; }));
    EXPECT_EQ(gateway.streams().waiting, 0);
    EXPECT_EQ(gateway.streams().inProgress, 1);
    exchange->closed();
    EXPECT_EQ(gateway.streams().waiting, 0);
    EXPECT_EQ(gateway.streams().inProgress, 0);
}

// Guards against a refused stream that remains counted as waiting.
TEST(StreamDemand, EndsWithARefusal)
{
    Traffic gateway;
    const auto exchange = std::make_shared<StubExchange>("/stream/1", "r1");
    gateway.traffic.handle(exchange);
    EXPECT_EQ(gateway.streams().waiting, 1);
    EXPECT_TRUE(gateway.runUntil([&] { return exchange->status != 0; }));
    EXPECT_EQ(exchange->status, 503);
    EXPECT_EQ(gateway.streams().waiting, 0);
}

// Guards against plain calls in the demand for engines.
TEST(StreamDemand, LeavesOutPlainCalls)
{
    Traffic gateway;
    gateway.traffic.handle(std::make_shared<StubExchange>("/look/1", "r1"));
    EXPECT_EQ(gateway.traffic.openCallCount(), 1U);
    EXPECT_TRUE(gateway.traffic.demand(std::chrono::steady_clock::now()).empty());
}

} // namespace
