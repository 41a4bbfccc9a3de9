#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

/** How callers send requests, on a new connection each, while the gateway stops. */
struct LateCallerCase
{
    const char *name;
    std::chrono::milliseconds answerTime; ///< of the target
    std::chrono::milliseconds pause; ///< between an answer and the next request
    int callers;
};

const LateCallerCase LateCallerCases[] = {
    {"OneCaller", 100ms, 30ms, 1},
    {"ThreeCallers", 60ms, 60ms, 3},
};

class RequestsDuringAPlannedStop : public testing::TestWithParam<LateCallerCase>
{
};

// Guards against a request that is cut because it arrives after the last open one has been answered and before the
// gateway has closed its sockets.
TEST_P(RequestsDuringAPlannedStop, AreAnsweredOnceTheyReachATarget)
{
    const auto &testCase = GetParam();
    const ScriptedTarget target([&](const std::string &request, int) {
        return Actions{{.kind = Kind::Wait, .duration = testCase.answerTime}, {.bytes = signedResponse(request, "ok")}};
    });
    GatewayFixture gateway({&target});
    std::atomic<bool> hasStopped = false;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(testCase.callers));
    for (int number = 0; number < testCase.callers; ++number) {
        callers.emplace_back([&, number] {
            for (int request = 0; !hasStopped; ++request) {
                RawCaller caller(gateway.callerEndpoint());
                caller.send(
                    requestText("POST", "/book/1", "r" + std::to_string(number) + "-" + std::to_string(request)));
                answered += caller.receive().status == 200 ? 1 : 0;
                std::this_thread::sleep_for(testCase.pause);
            }
        });
    }
    while (answered < testCase.callers) {
        std::this_thread::sleep_for(5ms);
    }
    gateway.beginStop();
    gateway.awaitStop();
    hasStopped = true;
    for (auto &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(target.requests().size(), answered);
}

INSTANTIATE_TEST_SUITE_P(All, RequestsDuringAPlannedStop, testing::ValuesIn(LateCallerCases),
                         [](const auto &row) { return std::string(row.param.name); });

/** A request that reaches a gateway which has been stopping for longer than the balancer needs to notice. */
struct LateRequestCase
{
    const char *name;
    const char *method;
    const char *path;
    std::chrono::milliseconds callerTimeout;
    int status;
};

const LateRequestCase LateRequestCases[] = {
    {"UnsafeEndsInTime", "POST", "/book/1", 500ms, 200},
    {"SafeEndsInTime", "GET", "/look/1", 500ms, 200},
    {"UnsafeMayOutlastTheStop", "POST", "/book/1", 2'500ms, 503},
    {"SafeMayOutlastTheStop", "GET", "/look/1", 2'500ms, 503},
    {"ResumableStream", "POST", "/stream/1", 500ms, 503},
};

class LateRequestsAtAPlannedStop : public testing::TestWithParam<LateRequestCase>
{
};

// Guards against a booking that a stopping gateway passes on and then cuts while its target runs it, so that the caller
// cannot know whether it is booked.
TEST_P(LateRequestsAtAPlannedStop, AreBegunOnlyIfTheirLatestAnswerArrives)
{
    const auto &testCase = GetParam();
    const ScriptedTarget target([](const std::string &request, int) {
        const bool isFirst = request.find("first") != std::string::npos;
        return Actions{{.kind = Kind::Wait, .duration = isFirst ? 1'200ms : 50ms},
                       {.bytes = signedResponse(request, "ok")}};
    });
    GatewayFixture gateway({&target}, {.gracePeriod = 2'500ms});
    RawCaller first(gateway.callerEndpoint()); // keeps the gateway from ending early
    first.send(requestText("POST", "/book/1", "first"));
    while (target.requests().empty()) {
        std::this_thread::sleep_for(5ms);
    }
    gateway.beginStop();
    std::this_thread::sleep_for(400ms);

    RawCaller late(gateway.callerEndpoint());
    late.send(requestText(testCase.method, testCase.path, "late", {},
                          "X-Heatherridge-Deadline-Ms: " + std::to_string(testCase.callerTimeout.count()) + "\r\n"));
    EXPECT_EQ(late.receive().status, testCase.status);
    EXPECT_EQ(target.requests().size(), testCase.status == 200 ? 2U : 1U);
    EXPECT_EQ(first.receive().status, 200);
    gateway.awaitStop();
}

INSTANTIATE_TEST_SUITE_P(All, LateRequestsAtAPlannedStop, testing::ValuesIn(LateRequestCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against a pipelined request that was read and is dropped, because the answer to the one before it, written
// while the gateway stops, closes the connection.
TEST(PipelinedRequestsAtAPlannedStop, AreAnsweredBeforeTheConnectionCloses)
{
    const ScriptedTarget target([](const std::string &request, int) {
        return Actions{{.kind = Kind::Wait, .duration = 300ms}, {.bytes = signedResponse(request, "ok")}};
    });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("GET", "/look/1", "first") + requestText("GET", "/look/2", "second"));
    while (target.requests().empty()) {
        std::this_thread::sleep_for(5ms);
    }
    gateway.beginStop();
    const auto first = caller.receive();
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(first.head.find("Connection: close"), std::string::npos);
    const auto second = caller.receive();
    EXPECT_EQ(second.status, 200);
    EXPECT_NE(second.head.find("Connection: close"), std::string::npos);
    gateway.awaitStop();
}

} // namespace
