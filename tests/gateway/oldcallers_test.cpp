#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <thread>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

const std::string Event = "id: 1\ndata: a\n\n";

/** Returns the head of a request whose body has four bytes. */
std::string headOf(const char *version, const char *target, const std::string &extraHeaders = {})
{
    return std::string("POST ") + target + " HTTP/" + version
        + "\r\nHost: h\r\nX-Heatherridge-Request-Id: r1\r\nContent-Length: 4\r\n" + extraHeaders + "\r\n";
}

struct OldCallerCase
{
    const char *name;
    const char *target;
    const char *headers; ///< of the request
    std::string body; ///< of the response
};

const OldCallerCase OldCallerCases[] = {
    {"WholeAnswer", "/look/1", "", Event},
    {"KeepAlive", "/look/1", "Connection: keep-alive\r\n", Event},
    {"Stream", "/stream/1", "", Event},
    {"StreamWithKeepAlive", "/stream/1", "Connection: keep-alive\r\n", Event},
    {"ExpectContinue", "/look/1", "Expect: 100-continue\r\n", Event},
};

class OldCallers : public testing::TestWithParam<OldCallerCase>
{
};

// Guards against chunks, interim responses and kept connections for a caller that speaks HTTP/1.0 and knows none.
TEST_P(OldCallers, GetAnAnswerOfTheirVersion)
{
    const ScriptedTarget target(
        [](const auto &request, int) { return Actions{{.bytes = signedResponse(request, Event)}}; });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(headOf("1.0", GetParam().target, GetParam().headers));
    std::this_thread::sleep_for(50ms); // for an interim response
    caller.send("body");
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, GetParam().body);
    EXPECT_EQ(answer.head.find("Transfer-Encoding"), std::string::npos);
    EXPECT_NE(answer.head.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(caller.isClosedWithin(5s));
}

INSTANTIATE_TEST_SUITE_P(All, OldCallers, testing::ValuesIn(OldCallerCases),
                         [](const auto &row) { return row.param.name; });

enum class Cause {
    TargetResets,
    CallerIsSlow,
};

struct CutStreamCase
{
    const char *name;
    const char *version;
    Cause cause;
};

const CutStreamCase CutStreamCases[] = {
    {"TargetResets", "1.1", Cause::TargetResets},
    {"CallerIsSlow", "1.1", Cause::CallerIsSlow},
    {"TargetResetsForAnOldCaller", "1.0", Cause::TargetResets},
    {"SlowOldCaller", "1.0", Cause::CallerIsSlow},
};

class CutStreams : public testing::TestWithParam<CutStreamCase>
{
};

// Guards against a stream that is cut for its caller and looks complete, which without chunks an orderly close does.
TEST_P(CutStreams, DoNotLookComplete)
{
    constexpr std::size_t manyEvents = 400'000; // more bytes than the kernel buffers for one connection
    const bool isSlow = GetParam().cause == Cause::CallerIsSlow;
    const ScriptedTarget target([isSlow](const std::string &request, int number) {
        if (number > 0) {
            return Actions{{.kind = Kind::Reset}};
        }
        std::string events = Event;
        for (std::size_t index = 0; isSlow && index < manyEvents; ++index) {
            events += "data: filler\n\n";
        }
        return Actions{{.bytes = unframedResponse(request, events)},
                       {.kind = Kind::Wait, .duration = 100ms},
                       {.kind = isSlow ? Kind::AwaitClose : Kind::Reset}};
    });
    GatewayFixture gateway({&target}, {.maxHeldBytes = 200'000});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(headOf(GetParam().version, "/stream/1") + "body");
    std::this_thread::sleep_for(isSlow ? 500ms : 0ms);
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.body.starts_with(Event));
    EXPECT_FALSE(answer.isWhole);
}

INSTANTIATE_TEST_SUITE_P(All, CutStreams, testing::ValuesIn(CutStreamCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
