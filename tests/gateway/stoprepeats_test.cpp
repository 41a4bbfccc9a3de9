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
using std::chrono::milliseconds;

/** Returns a target's statement that it has not run @p request. */
std::string refusalTo(const std::string &request)
{
    return "HTTP/1.1 503 Full\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
        + "\r\nX-Heatherridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

/** Returns a complete answer, which may be to a stream. */
std::string wholeAnswer(const std::string &request)
{
    return signedResponse(request, "id: 1\ndata: [DONE]\n\n", 200, "Content-Type: text/event-stream\r\n");
}

/** A request whose first attempt ends without an answer while the gateway stops. */
struct RepeatCase
{
    const char *name;
    const char *method;
    const char *path;
    bool isRefused; ///< by its first target, as not run; otherwise that breaks the answer off
    milliseconds firstAttempt;
    bool mayBeRepeated;
    int status;
};

const RepeatCase RepeatCases[] = {
    {"LookUpInGoodTime", "GET", "/look/1", false, 300ms, true, 200},
    {"LookUpShortlyBeforeTheCut", "GET", "/look/1", false, 1'000ms, false, 502},
    {"RefusedLookUp", "GET", "/look/1", true, 600ms, false, 503},
    {"RefusedBooking", "POST", "/book/1", true, 600ms, false, 503},
    {"StreamInGoodTime", "POST", "/stream/1", false, 300ms, true, 200},
    {"StreamShortlyBeforeTheCut", "POST", "/stream/1", false, 1'000ms, false, 502},
};

class RepeatsAtAPlannedStop : public testing::TestWithParam<RepeatCase>
{
};

// Guards against a second attempt that begins near the end of the grace and is cut while its target works.
TEST_P(RepeatsAtAPlannedStop, BeginOnlyIfTheirAnswerIsDueBeforeTheCut)
{
    const auto &testCase = GetParam();
    std::atomic<int> attempts = 0;
    const auto script = [&](const std::string &request, int) {
        if (++attempts > 1) {
            return Actions{{.bytes = wholeAnswer(request)}};
        }
        return Actions{{.kind = Kind::Wait, .duration = testCase.firstAttempt},
                       testCase.isRefused ? TargetAction{.bytes = refusalTo(request)}
                                          : TargetAction{.kind = Kind::Close}};
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    auto config = GatewayFixture::defaultConfig();
    for (auto &route : config.routes) {
        route.timeout = 6'000ms;
        route.objective = 2'500ms;
    }
    GatewayFixture gateway({&first, &second}, {.config = config, .gracePeriod = 3'500ms});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText(testCase.method, testCase.path, "r"));
    while (attempts == 0) {
        std::this_thread::sleep_for(5ms);
    }
    gateway.beginStop();
    EXPECT_EQ(caller.receive().status, testCase.status);
    EXPECT_EQ(attempts, testCase.mayBeRepeated ? 2 : 1);
    gateway.awaitStop();
}

INSTANTIATE_TEST_SUITE_P(All, RepeatsAtAPlannedStop, testing::ValuesIn(RepeatCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against a request that waits for a target until the gateway cuts it.
TEST(WaitingStreamsAtAPlannedStop, AreRefusedAsNotRun)
{
    const ScriptedTarget target([](const std::string &request, int) { return Actions{{.bytes = refusalTo(request)}}; });
    GatewayFixture gateway({&target}, {.gracePeriod = 1'000ms});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/stream/1", "r"));
    while (target.requests().empty()) {
        std::this_thread::sleep_for(5ms);
    }
    gateway.beginStop();
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.isWhole);
    gateway.awaitStop();
}

} // namespace
