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

} // namespace
