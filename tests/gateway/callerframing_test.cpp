#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

struct ContinueCase
{
    const char *name;
    const char *firstHeaders; ///< of the first request
    const char *nextHeaders; ///< of the next one, whose body is held back
    int interimStatus; ///< that the caller gets while it holds the body back; 0 if none
};

const ContinueCase ContinueCases[] = {
    {"NeitherExpectsIt", "", "", 0},
    {"OnlyTheFirstExpectsIt", "Expect: 100-continue\r\n", "", 0},
    {"OnlyTheNextExpectsIt", "", "Expect: 100-continue\r\n", 100},
    {"BothExpectIt", "Expect: 100-continue\r\n", "Expect: 100-continue\r\n", 100},
};

class InterimAnswers : public testing::TestWithParam<ContinueCase>
{
};

// Guards against `100 Continue` for a request that did not ask for it, because an earlier one on the connection, which
// arrived whole, did: its caller would take it for the answer.
TEST_P(InterimAnswers, AreSentOnlyToTheRequestThatExpectsThem)
{
    const auto &testCase = GetParam();
    const ScriptedTarget target(
        [](const auto &request, int) { return std::vector<TargetAction>{{.bytes = signedResponse(request, "xxxx")}}; });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    const auto next = requestText("POST", "/book/2", "r2", "body", testCase.nextHeaders);
    constexpr std::size_t firstPiece = 10; // ends inside the head
    const auto headSize = next.size() - std::string("body").size();
    caller.send(requestText("POST", "/book/1", "r1", "body", testCase.firstHeaders) + next.substr(0, firstPiece));
    EXPECT_EQ(caller.receive().status, 200);
    caller.send(next.substr(firstPiece, headSize - firstPiece));
    if (testCase.interimStatus != 0) {
        EXPECT_EQ(caller.receive().status, testCase.interimStatus);
    }
    caller.send(next.substr(headSize));
    EXPECT_EQ(caller.receive().status, 200);
}

INSTANTIATE_TEST_SUITE_P(All, InterimAnswers, testing::ValuesIn(ContinueCases),
                         [](const auto &row) { return row.param.name; });

// Guards against an answer to blank lines after a request: the caller would take it for that to its next request.
TEST(BlankLinesBetweenRequests, AreNotAnswered)
{
    const ScriptedTarget target(
        [](const auto &request, int) { return std::vector<TargetAction>{{.bytes = signedResponse(request, "xxxx")}}; });
    auto config = GatewayFixture::defaultConfig();
    config.bounds.headerTimeout = std::chrono::milliseconds(100);
    config.bounds.idleTimeout = std::chrono::milliseconds(1'000);
    GatewayFixture gateway({&target}, {.config = config});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/book/1", "r1", "body") + "\r\n\r\n");
    EXPECT_EQ(caller.receive().status, 200);
    const auto next = caller.receive(); // ends with the idle timeout
    EXPECT_EQ(next.status, 0);
    EXPECT_TRUE(next.isInProtocol);
}

} // namespace
