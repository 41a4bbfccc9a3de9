#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <thread>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

void awaitRequests(const ScriptedTarget &target, std::size_t count)
{
    while (target.requests().size() < count) {
        std::this_thread::sleep_for(5ms);
    }
}

/** A request that was begun before the stop and whose target still works at the
 * cut. */
struct WorkAtTheCutCase
{
    const char *name;
    const char *method;
    const char *path;
};

const WorkAtTheCutCase WorkAtTheCutCases[] = {
    {"Booking", "POST", "/book/1"},
    {"LookUp", "GET", "/look/1"},
    {"StreamBeforeItsFirstEvent", "POST", "/stream/1"},
};

class WorkAtTheCutOfAPlannedStop : public testing::TestWithParam<WorkAtTheCutCase>
{
};

// Guards against a connection that is closed without an answer at the end of
// the grace, so that the caller can't tell a request whose outcome is unknown
// from one that was never read.
TEST_P(WorkAtTheCutOfAPlannedStop, IsAnsweredAsUnknown)
{
    const auto &testCase = GetParam();
    const ScriptedTarget target([](const std::string &, int) { return Actions{{.kind = Kind::AwaitClose}}; });
    GatewayFixture gateway({&target}, {.gracePeriod = 1'000ms});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText(testCase.method, testCase.path, "r"));
    awaitRequests(target, 1);
    gateway.beginStop();
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 502);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_NE(answer.head.find("Connection: close"), std::string::npos);
    gateway.awaitStop();
    EXPECT_EQ(target.requests().size(), 1);
}

INSTANTIATE_TEST_SUITE_P(All, WorkAtTheCutOfAPlannedStop, testing::ValuesIn(WorkAtTheCutCases),
                         [](const auto &row) { return std::string(row.param.name); });

/** A request that is still arriving when the gateway closes its connections. */
struct ArrivingCase
{
    const char *name;
    bool followsAnother; ///< on the same connection, and arrives in part while
                         ///< that is answered
    bool hasOpenRequest; ///< another caller's request keeps the gateway until the
                         ///< end of the grace
    bool isWholeHead;
};

const ArrivingCase ArrivingCases[] = {
    {"Body", false, false, true},
    {"BodyUntilTheEndOfTheGrace", false, true, true},
    {"Head", false, false, false},
    {"PipelinedBody", true, false, true},
    {"PipelinedBodyUntilTheEndOfTheGrace", true, true, true},
    {"PipelinedHead", true, false, false},
};

class ArrivingRequestsAtAPlannedStop : public testing::TestWithParam<ArrivingCase>
{
};

// Guards against an upload whose connection is closed without an answer, so
// that its caller can't tell that it was not run.
TEST_P(ArrivingRequestsAtAPlannedStop, AreRefusedAsNotRunBeforeTheCut)
{
    const auto &testCase = GetParam();
    const ScriptedTarget target([](const std::string &request, int) {
        const bool isOpen = request.find("/book/open") != std::string::npos;
        return Actions{{.kind = Kind::Wait, .duration = isOpen ? 2'000ms : 100ms},
                       {.bytes = signedResponse(request, "ok")}};
    });
    auto config = GatewayFixture::defaultConfig();
    config.bounds.headerTimeout = 5'000ms;
    GatewayFixture gateway({&target}, {.config = config, .gracePeriod = 1'000ms});
    RawCaller open(gateway.callerEndpoint());
    if (testCase.hasOpenRequest) {
        open.send(requestText("POST", "/book/open", "open"));
        awaitRequests(target, 1);
    }
    RawCaller caller(gateway.callerEndpoint());
    const auto whole = requestText("POST", "/book/1", "late", std::string(1'000, 'x'));
    const auto part = whole.substr(0, testCase.isWholeHead ? whole.size() - 1 : 30);
    caller.send((testCase.followsAnother ? requestText("GET", "/look/1", "first") : "") + part);
    if (testCase.followsAnother) {
        EXPECT_EQ(caller.receive().status, 200);
    } else {
        std::this_thread::sleep_for(50ms); // the gateway reads the part
    }
    const auto received = target.requests().size();
    gateway.beginStop();
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_NE(answer.head.find("Connection: close"), std::string::npos);
    gateway.awaitStop();
    EXPECT_EQ(target.requests().size(), received);
}

INSTANTIATE_TEST_SUITE_P(All, ArrivingRequestsAtAPlannedStop, testing::ValuesIn(ArrivingCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
