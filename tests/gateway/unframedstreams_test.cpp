#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <atomic>

using namespace Heatherridge;

namespace
{

using Actions = std::vector<TargetAction>;

const std::string FirstEvent = "id: 1\ndata: a\n\n";
const std::string SecondEvent = "id: 2\ndata: b\n\n";

/** A signed stream with @p framing headers, whose connection the target closes in an orderly way. */
Actions streamAndClose(const std::string &request, const std::string &framing, const std::string &bytes)
{
    return {
        {.bytes = "HTTP/1.1 200 OK\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
             + "\r\nX-Heatherridge-Response-Signature: s\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n"
             + bytes},
        {.kind = TargetAction::Kind::Close}};
}

struct StreamEndCase
{
    const char *name;
    std::string framing; ///< headers of the first answer
    std::string bytes; ///< of the first answer; the resumed stream has the second event
    std::string body; ///< that the caller gets
    std::size_t requests; ///< received by both targets together
    bool isResumable = true;
    int status = 200;
    const char *method = "POST";
};

const StreamEndCase StreamEndCases[] = {
    {"AfterAnEvent", "", FirstEvent, FirstEvent, 1},
    {"AfterAnEventWithCrLf", "", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", 1},
    {"AfterABlankLine", "", FirstEvent + "\n", FirstEvent + "\n", 1},
    {"AfterACommentLine", "", FirstEvent + ": end\n", FirstEvent + ": end\n", 1},
    {"InACommentLine", "", FirstEvent + ": en", FirstEvent + SecondEvent, 2},
    {"InAnEvent", "", FirstEvent + "id: 2\nda", FirstEvent + SecondEvent, 2},
    {"BeforeTheBlankLineOfAnEvent", "", FirstEvent + "id: 2\ndata: b\n", FirstEvent + SecondEvent, 2},
    {"InTheBlankLineOfAnEventWithCrLf", "", FirstEvent + "id: 2\r\ndata: b\r\n\r", FirstEvent + SecondEvent, 2},
    {"BeforeTheFirstEvent", "", "", SecondEvent, 2},
    {"AfterOnlyAComment", "", ": ready\n\n", ": ready\n\n" + SecondEvent, 2},
    {"BeforeTheFirstEventWithoutResumption", "", "", "", 1, false, 502},
    {"EmptyWithLength", "Content-Length: 0\r\n", "", "", 1},
    {"EmptyInChunks", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", "", 1},
    {"OfAHeadRequest", "", "", "", 1, true, 200, "HEAD"},
};

class StreamEnds : public testing::TestWithParam<StreamEndCase>
{
};

// Guards against a stream without length or chunks that is broken off and passed on as whole: the end of its connection
// is then the only sign of its end.
TEST_P(StreamEnds, AreWholeOnlyOutsideAnEvent)
{
    const auto &testCase = GetParam();
    std::atomic<int> requestCount = 0;
    const auto script = [&](const std::string &request, int) {
        return requestCount++ == 0 ? streamAndClose(request, testCase.framing, testCase.bytes)
                                   : Actions{{.bytes = signedResponse(request, SecondEvent)}};
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    auto config = GatewayFixture::defaultConfig();
    for (auto &route : config.routes) {
        route.isResumable = route.isResumable && testCase.isResumable;
    }
    GatewayFixture gateway({&first, &second}, {.config = config});
    RawCaller caller(gateway.callerEndpoint());
    const bool isHead = std::string_view(testCase.method) == "HEAD";
    caller.send(requestText(testCase.method, "/stream/1", "r1", isHead ? "" : "prompt"));
    const auto answer = caller.receive(isHead);
    EXPECT_EQ(answer.status, testCase.status);
    EXPECT_TRUE(answer.isWhole);
    if (testCase.status == 200) {
        EXPECT_EQ(answer.body, testCase.body);
    }
    EXPECT_EQ(first.requests().size() + second.requests().size(), testCase.requests);
}

INSTANTIATE_TEST_SUITE_P(All, StreamEnds, testing::ValuesIn(StreamEndCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
