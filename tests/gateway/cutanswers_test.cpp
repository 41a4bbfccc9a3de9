#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

/** A whole answer that a target stops writing after each of its bytes. */
struct CutAnswerCase
{
    const char *name;
    const char *method;
    const char *path;
    std::string before; ///< bytes before the head
    std::string afterHead; ///< further headers, blank line and body
    bool isHeadOnly; ///< the end of the connection ends the body too, so only cuts in the head are told from whole ones
    Kind end;
};

const std::string Length = "Content-Length: 2\r\n\r\nok";
const std::string NoBody = "Content-Length: 0\r\n\r\n";
const std::string Chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
const std::string UntilTheEnd = "Connection: close\r\n\r\nok";
const std::string Events = "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
const std::string EventChunks = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

const CutAnswerCase CutAnswerCases[] = {
    {"LengthUnsafe", "POST", "/book/1", "", Length, false, Kind::Close},
    {"LengthSafe", "GET", "/look/1", "", Length, false, Kind::Close},
    {"LengthReset", "POST", "/book/1", "", Length, false, Kind::Reset},
    {"LengthAfterInterim", "POST", "/book/1", Interim, Length, false, Kind::Close},
    {"NoBody", "POST", "/book/1", "", NoBody, false, Kind::Close},
    {"NoBodyReset", "POST", "/book/1", "", NoBody, false, Kind::Reset},
    {"Chunks", "POST", "/book/1", "", Chunks, false, Kind::Close},
    {"UntilTheEnd", "POST", "/book/1", "", UntilTheEnd, true, Kind::Close},
    {"UntilTheEndReset", "POST", "/book/1", "", UntilTheEnd, false, Kind::Reset},
    {"Stream", "POST", "/stream/1", "", Events, true, Kind::Close},
    {"StreamInChunks", "POST", "/stream/1", "", EventChunks, false, Kind::Close},
    {"StreamInChunksReset", "POST", "/stream/1", "", EventChunks, false, Kind::Reset},
};

class CutAnswers : public testing::TestWithParam<CutAnswerCase>
{
};

std::string wholeAnswer(const CutAnswerCase &testCase, const std::string &request)
{
    return testCase.before
        + "HTTP/1.1 200 OK\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
        + "\r\nX-Heatherridge-Response-Signature: s\r\n" + testCase.afterHead;
}

// Guards against a success that a caller takes for whole although the target stopped in the middle of its head or body.
TEST_P(CutAnswers, AreNeverPassedOnAsWhole)
{
    const auto &testCase = GetParam();
    std::size_t cut = 0;
    const ScriptedTarget target([&](const std::string &request, int) {
        return Actions{{.bytes = wholeAnswer(testCase, request).substr(0, cut)}, {.kind = testCase.end}};
    });
    GatewayFixture gateway({&target});
    const auto sample = wholeAnswer(testCase, requestText("POST", "/", "r000"));
    const auto headEnd = sample.find("\r\n\r\n", testCase.before.size()) + 4;
    const auto end = testCase.isHeadOnly ? headEnd : sample.size();
    for (; cut < end; ++cut) {
        RawCaller caller(gateway.callerEndpoint());
        const auto id = "r" + std::to_string(1'000 + cut).substr(1);
        caller.send(requestText(testCase.method, testCase.path, id));
        const auto answer = caller.receive();
        EXPECT_FALSE(answer.status == 200 && answer.isWhole) << "cut after byte " << cut << ":\n" << answer.head;
        EXPECT_TRUE(answer.isInProtocol) << "cut after byte " << cut;
    }
    EXPECT_GE(target.requests().size(), end) << "requests that no target received test nothing";
}

INSTANTIATE_TEST_SUITE_P(All, CutAnswers, testing::ValuesIn(CutAnswerCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
