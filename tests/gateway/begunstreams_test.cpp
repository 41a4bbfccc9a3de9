#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <cstdio>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

std::string chunk(const std::string &bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

const std::string ForwardedEvents = "id: 1\ndata: first\n\nid: 2\ndata: second\n\n";

std::string headWithId(const std::string &request, const std::string &statusLine, const std::string &headers)
{
    return "HTTP/1.1 " + statusLine + "\r\nX-Heatherridge-Request-Id: "
        + requestHeader(request, "X-Heatherridge-Request-Id") + "\r\n" + headers + "\r\n";
}

/** Begins a stream and breaks it off after two events. */
Actions breakOff(const std::string &request)
{
    return {{.bytes = headWithId(request, "200 OK",
                                 "X-Heatherridge-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n")
                 + chunk(ForwardedEvents)},
            {.kind = Kind::Wait, .duration = 50ms},
            {.kind = Kind::Reset}};
}

struct ResumptionCase
{
    const char *name;
    std::string (*answer)(const std::string &request); ///< of the target that is to resume the stream
    int maxAttempts = 2;
    double retrySlack = 800;
};

const ResumptionCase ResumptionCases[] = {
    {"ErrorOfTheTarget", [](const auto &request) { return signedResponse(request, "failed", 500); }},
    {"ErrorOfTheTargetWithoutRetryBudget", [](const auto &request) { return signedResponse(request, "failed", 500); },
     3, 12},
    {"GatewayTimeoutOfTheTarget", [](const auto &request) { return signedResponse(request, "late", 504); }},
    {"RejectionOfTheTarget", [](const auto &request) { return signedResponse(request, "unknown", 404); }},
    {"AnswerWithoutBody", [](const auto &request) { return signedResponse(request, "", 204); }},
    {"Refusal",
     [](const auto &request) {
         return headWithId(request, "503 Full", "X-Heatherridge-Not-Executed: 1\r\nContent-Length: 0\r\n");
     }},
    {"UnsignedError",
     [](const auto &request) { return headWithId(request, "500 Failed", "Content-Length: 4\r\n") + "oops"; }},
    {"BytesThatAreNotHttp", [](const auto &) { return std::string("id: 3\ndata: third\n\n"); }},
    {"PartOfAnEvent", [](const auto &request) { return signedResponse(request, "id: 3\ndata: th"); }},
};

class BegunStreams : public testing::TestWithParam<ResumptionCase>
{
};

// Guards against a second response head inside a stream that has begun when the target that is to resume it answers
// with something else than a stream.
TEST_P(BegunStreams, AreBrokenOffWhenTheyAreNotResumed)
{
    const auto &testCase = GetParam();
    std::atomic<int> requestCount = 0;
    const auto script = [&](const std::string &request, int) {
        return requestCount++ == 0 ? breakOff(request) : Actions{{.bytes = testCase.answer(request)}};
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    auto config = GatewayFixture::defaultConfig();
    for (auto &route : config.routes) {
        route.maxAttempts = testCase.maxAttempts;
    }
    GatewayFixture gateway({&first, &second}, {.config = config, .retrySlack = testCase.retrySlack});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/stream/1", "r1", "prompt"));
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.isInProtocol);
    EXPECT_EQ(answer.body, ForwardedEvents);
    EXPECT_FALSE(answer.isWhole);
    EXPECT_GE(requestCount, 2);
    EXPECT_EQ(gateway.metric("heatherridge_responses_out_of_order_total"), 0);
}

INSTANTIATE_TEST_SUITE_P(All, BegunStreams, testing::ValuesIn(ResumptionCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
