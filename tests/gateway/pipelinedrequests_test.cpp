#include "gateway/exchangeservers.h"
#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

struct PipelineCase
{
    const char *name;
    void (*respond)(HttpExchange &);
};

const PipelineCase PipelineCases[] = {
    {"WholeResponse", [](HttpExchange &exchange) { exchange.respond({.body = "whole"}); }},
    {"Stream",
     [](HttpExchange &exchange) {
         exchange.beginStream(200, {});
         exchange.write("whole", [](bool) {});
         exchange.end();
     }},
    {"StreamThatEndsWhenItIsWritten",
     [](HttpExchange &exchange) {
         exchange.beginStream(200, {});
         exchange.write("whole", [&exchange](bool) { exchange.end(); });
     }},
};

class PipelinedRequests : public testing::TestWithParam<PipelineCase>
{
};

// Guards against a stack that grows with each pipelined request that is answered at once, up to its overflow.
TEST_P(PipelinedRequests, AreHandledOneAfterTheOther)
{
    constexpr int count = 200;
    std::atomic<int> depth = 0;
    std::atomic<int> maxDepth = 0;
    std::vector<std::shared_ptr<HttpExchange>> exchanges; // on the server's thread only
    GatewayCallerServer server([&](const std::shared_ptr<HttpExchange> &exchange) {
        exchanges.push_back(exchange);
        maxDepth = std::max<int>(maxDepth, ++depth);
        GetParam().respond(*exchange);
        --depth;
    });
    RawCaller caller(server.endpoint());
    std::string requests;
    for (int index = 0; index < count; ++index) {
        requests += "GET /" + std::to_string(index) + " HTTP/1.1\r\n\r\n";
    }
    caller.send(requests);
    for (int index = 0; index < count; ++index) {
        const auto answer = caller.receive();
        ASSERT_TRUE(answer.isWhole) << index;
        EXPECT_EQ(answer.body, "whole");
    }
    EXPECT_EQ(maxDepth, 1);
    server.runAndWait([&](CallerServer &) {
        ASSERT_EQ(exchanges.size(), static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            EXPECT_EQ(exchanges[static_cast<std::size_t>(index)]->request().path, "/" + std::to_string(index));
        }
        exchanges.clear();
    });
}

INSTANTIATE_TEST_SUITE_P(All, PipelinedRequests, testing::ValuesIn(PipelineCases),
                         [](const auto &row) { return row.param.name; });

// Guards against a gateway that ends because one caller sends many short requests at once, which are all refused.
TEST(PipelinedRefusals, AreAllSent)
{
    const ScriptedTarget target([](const auto &request, int) {
        return std::vector<TargetAction>{{.kind = TargetAction::Kind::Wait, .duration = 300ms},
                                         {.bytes = signedResponse(request, "xxxx")}};
    });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("GET", "/look/1", "r1"));
    constexpr int count = 4'550; // as many as the connection holds while its first request runs
    std::string requests;
    for (int index = 0; index < count; ++index) {
        requests += "GET / HTTP/1.1\n\n";
    }
    caller.send(requests);
    EXPECT_EQ(caller.receive().status, 200);
    int refused = 0;
    for (int index = 0; index < count; ++index) {
        refused += caller.receive().status == 404 ? 1 : 0;
    }
    EXPECT_EQ(refused, count);
}

struct RejectionCase
{
    const char *name;
    std::string bytes; ///< after a request that is in progress
    int status; ///< of the rejection
};

const RejectionCase RejectionCases[] = {
    {"LongHeader", requestText("GET", "/look/2", "r2", {}, "X-Long: " + std::string(5'000, 'x') + "\r\n"), 431},
    {"LargeBody", requestText("POST", "/book/2", "r2", {}, "Content-Length: 1000000\r\n"), 413},
    {"LargeBodyThatIsAnnounced",
     requestText("POST", "/book/2", "r2", {}, "Content-Length: 1000000\r\nExpect: 100-continue\r\n"), 413},
    {"LargeChunk",
     requestText("POST", "/book/2", "r2", {}, "Transfer-Encoding: chunked\r\n") + "30d40\r\n"
         + std::string(200'000, 'x'),
     413},
    {"NotHttp", "hello there\r\n\r\n", 400},
    {"PartOfAHead", "GET /look/2 HTTP/1.1\r\nHost: h\r\n", 408},
    {"PartOfABody", requestText("POST", "/book/2", "r2", {}, "Content-Length: 5\r\nExpect: 100-continue\r\n") + "ab",
     408},
};

class RejectionsBehindAnAnswer : public testing::TestWithParam<RejectionCase>
{
};

// Guards against a rejection that is written into the answer to an earlier request of the connection, or replaces it.
TEST_P(RejectionsBehindAnAnswer, FollowTheWholeAnswer)
{
    const std::string begin = "id: 1\ndata: a\n\n";
    const std::string rest = "id: 2\ndata: b\n\n";
    const ScriptedTarget target([&](const auto &request, int) {
        const auto whole = signedResponse(request, begin + rest);
        return std::vector<TargetAction>{{.bytes = whole.substr(0, whole.size() - rest.size())},
                                         {.kind = TargetAction::Kind::Wait, .duration = 100ms},
                                         {.bytes = rest}};
    });
    auto config = GatewayFixture::defaultConfig();
    config.bounds.headerTimeout = 200ms;
    config.bounds.idleTimeout = 200ms;
    GatewayFixture gateway({&target}, {.config = config});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/stream/1", "r1", "prompt") + GetParam().bytes);
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, begin + rest);
    auto rejection = caller.receive();
    if (rejection.status == 100) {
        rejection = caller.receive();
    }
    EXPECT_EQ(rejection.status, GetParam().status);
    EXPECT_TRUE(rejection.isWhole);
    EXPECT_EQ(target.requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(All, RejectionsBehindAnAnswer, testing::ValuesIn(RejectionCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
