#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <atomic>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

/** What the target of the second attempt does after that of the first one has failed the request. */
struct RepeatCase
{
    const char *name;
    const char *path;
    Actions (*second)(const std::string &request);
    int status = 500; ///< that the caller gets
    const char *body = "failed";
};

Actions reset(const std::string & /*request*/)
{
    return {{.kind = Kind::Reset}};
}

Actions sendUnsigned(const std::string & /*request*/)
{
    return {{.bytes = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"}};
}

Actions staySilent(const std::string & /*request*/)
{
    return {{.kind = Kind::AwaitClose}};
}

Actions succeed(const std::string &request)
{
    return {{.bytes = signedResponse(request, "id: 1\ndata: x\n\n")}};
}

Actions failToo(const std::string &request)
{
    return {{.bytes = signedResponse(request, "failed too", 502)}};
}

const RepeatCase RepeatCases[] = {
    {"LookUpReset", "/look/1", reset},
    {"LookUpUnsigned", "/look/1", sendUnsigned},
    {"LookUpSilent", "/look/1", staySilent},
    {"StreamReset", "/stream/1", reset},
    {"StreamUnsigned", "/stream/1", sendUnsigned},
    {"StreamSilent", "/stream/1", staySilent},
    {"LookUpAnswered", "/look/1", succeed, 200, "id: 1\ndata: x\n\n"},
    {"StreamAnswered", "/stream/1", succeed, 200, "id: 1\ndata: x\n\n"},
    {"LookUpFailed", "/look/1", failToo, 502, "failed too"},
};

class FailuresOfTargets : public testing::TestWithParam<RepeatCase>
{
};

// Guards against a failure that a target has answered with and that is replaced by one of the gateway, because the
// repeat of the request brought no answer.
TEST_P(FailuresOfTargets, AreDeliveredUnlessARepeatIsAnswered)
{
    const auto &testCase = GetParam();
    std::atomic<int> attempts = 0;
    const auto script = [&](const std::string &request, int) {
        return attempts++ == 0 ? Actions{{.bytes = signedResponse(request, "failed", 500)}} : testCase.second(request);
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    const GatewayFixture gateway({&first, &second});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", testCase.path, "r1", "prompt"));
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, testCase.status);
    EXPECT_EQ(answer.body, testCase.body);
    EXPECT_NE(answer.head.find("X-Heatherridge-Response-Signature: s"), std::string::npos) << answer.head;
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(attempts, 2);
}

INSTANTIATE_TEST_SUITE_P(All, FailuresOfTargets, testing::ValuesIn(RepeatCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
