#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <atomic>

using namespace Heatherridge;

namespace
{

using Actions = std::vector<TargetAction>;

/** Returns a signed response to @p request with @p statusLine, and @p rest after its first headers. */
std::string responseWith(const std::string &request, const std::string &statusLine, const std::string &rest)
{
    return statusLine + "\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
        + "\r\nX-Heatherridge-Response-Signature: s\r\n" + rest;
}

struct ResponseCase
{
    const char *name;
    const char *statusLine;
    std::string rest; ///< headers, blank line and body
    int status; ///< that the caller gets
    std::string body = {};
    std::string header = {}; ///< in the head that the caller gets
};

using namespace std::string_literals;

const ResponseCase ResponseCases[] = {
    {"StatusBelow100", "HTTP/1.1 99 X", "Content-Length: 2\r\n\r\nok", 502},
    {"Status0", "HTTP/1.1 0 X", "Content-Length: 2\r\n\r\nok", 502},
    {"Status600", "HTTP/1.1 600 X", "Content-Length: 2\r\n\r\nok", 502},
    {"Status999", "HTTP/1.1 999 X", "Content-Length: 2\r\n\r\nok", 502},
    {"Status1000", "HTTP/1.1 1000 X", "Content-Length: 2\r\n\r\nok", 502},
    {"Status599", "HTTP/1.1 599 X", "Content-Length: 2\r\n\r\nok", 599, "ok"},
    {"NoContent", "HTTP/1.1 204 X", "\r\n", 204},
    {"NoContentWithLength0", "HTTP/1.1 204 X", "Content-Length: 0\r\n\r\n", 204},
    {"NoContentWithLength", "HTTP/1.1 204 X", "Content-Length: 2\r\n\r\nok", 502},
    {"NoContentInChunks", "HTTP/1.1 204 X", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 502},
    {"NotModified", "HTTP/1.1 304 X", "\r\n", 304},
    {"NotModifiedWithLengthOfTheFullAnswer", "HTTP/1.1 304 X", "Content-Length: 2000\r\n\r\n", 304},
    {"NotModifiedInChunks", "HTTP/1.1 304 X", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 502},
    {"HeaderWithCr", "HTTP/1.1 200 X", "X-Own: a\rX-Other: b\r\nContent-Length: 2\r\n\r\nok", 502},
    {"HeaderWithNul", "HTTP/1.1 200 X", "X-Own: a\0b\r\nContent-Length: 2\r\n\r\nok"s, 502},
    {"HeaderWithDelete", "HTTP/1.1 200 X", "X-Own: a\x7f\r\nContent-Length: 2\r\n\r\nok", 502},
    {"HeaderNameWithNul", "HTTP/1.1 200 X", "X-O\0n: a\r\nContent-Length: 2\r\n\r\nok"s, 502},
    {"HeaderWithTab", "HTTP/1.1 200 X", "X-Own: a\tb\r\nContent-Length: 2\r\n\r\nok", 200, "ok", "X-Own: a\tb\n"},
    {"FoldedHeader", "HTTP/1.1 200 X", "X-Own: a\r\n b\r\nContent-Length: 2\r\n\r\nok", 502},
    {"HeaderNameThatBeginsWithSpace", "HTTP/1.1 200 X", " X-Own: a\r\nContent-Length: 2\r\n\r\nok", 502},
    {"TwoLengths", "HTTP/1.1 200 X", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", 502},
    {"LengthAndChunks", "HTTP/1.1 200 X", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     502},
    {"HeaderNameWithSpace", "HTTP/1.1 200 X", "X-O n: a\r\nContent-Length: 2\r\n\r\nok", 502},
    {"LengthWithSpaceAfterItsName", "HTTP/1.1 200 X", "Content-Length : 2\r\n\r\nok", 502},
    {"ChunksWithSpaceAfterTheirName", "HTTP/1.1 200 X", "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 502},
    {"CompressedChunks", "HTTP/1.1 200 X", "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 502},
    {"CompressedUntilTheEnd", "HTTP/1.1 200 X", "Transfer-Encoding: gzip\r\nConnection: close\r\n\r\nok", 502},
    {"ChunksTwice", "HTTP/1.1 200 X",
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 502},
    {"ChunksWithSpaceAfterTheirValue", "HTTP/1.1 200 X", "Transfer-Encoding: chunked \r\n\r\n2\r\nok\r\n0\r\n\r\n", 200,
     "ok"},
    {"ChunkLongerThanItsSize", "HTTP/1.1 200 X", "Transfer-Encoding: chunked\r\n\r\n2\r\nokAB0\r\n\r\n", 502},
    {"ChunkSizeEndedByCrOnly", "HTTP/1.1 200 X", "Transfer-Encoding: chunked\r\n\r\n2\rXok\r\n0\r\n\r\n", 502},
    {"LastChunkEndedByCrOnly", "HTTP/1.1 200 X", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\rX", 502},
    {"HeadEndedByCrOnly", "HTTP/1.1 200 X", "Content-Length: 2\r\n\rXok", 502},
    {"ChunksInCapitals", "HTTP/1.1 200 X", "Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"},
    {"ChunkExtensionAndTrailer", "HTTP/1.1 200 X",
     "Trailer: X-Own\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX-Own: a\r\n\r\n", 200, "ok"},
};

class TargetHeads : public testing::TestWithParam<ResponseCase>
{
};

// Guards against a response of a target that is passed on although it is none in the protocol: the caller would take
// its body or a part of its head for something else, or the body for the beginning of the next response.
TEST_P(TargetHeads, ArePassedOnOnlyWithinTheProtocol)
{
    const auto &testCase = GetParam();
    const ScriptedTarget target([&](const std::string &request, int) {
        return request.find("/book/next") != std::string::npos
            ? Actions{{.bytes = signedResponse(request, "next")}}
            : Actions{{.bytes = responseWith(request, testCase.statusLine, testCase.rest)}};
    });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("GET", "/book/1", "r1") + requestText("GET", "/book/next", "r2"));
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, testCase.status);
    EXPECT_TRUE(answer.isWhole);
    if (testCase.status != 502) {
        EXPECT_EQ(answer.body, testCase.body);
    }
    EXPECT_NE(answer.head.find(testCase.header), std::string::npos);
    EXPECT_EQ(answer.head.find_first_of("\r\x7f"s + '\0'), std::string::npos);
    const bool hasNoBody = answer.status == 204 || answer.status == 304;
    EXPECT_FALSE(hasNoBody && answer.head.find("Content-Length") != std::string::npos);
    const auto next = caller.receive();
    EXPECT_EQ(next.status, 200);
    EXPECT_EQ(next.body, "next");
}

INSTANTIATE_TEST_SUITE_P(All, TargetHeads, testing::ValuesIn(ResponseCases),
                         [](const auto &row) { return row.param.name; });

struct RefusalCase
{
    const char *name;
    const char *path;
    const char *signature; ///< header of the refusal
};

const RefusalCase RefusalCases[] = {
    {"Stream", "/stream/1", ""},
    {"SignedStream", "/stream/1", "X-Heatherridge-Response-Signature: s\r\n"},
    {"LookUp", "/look/1", ""},
    {"Booking", "/book/1", "X-Heatherridge-Response-Signature: s\r\n"},
};

class SuccessfulRefusals : public testing::TestWithParam<RefusalCase>
{
};

// Guards against a stream that is passed on, without a signature or beside a later one, although its target states that
// it did not run the request.
TEST_P(SuccessfulRefusals, AreNotPassedOn)
{
    const auto &testCase = GetParam();
    std::atomic<int> requestCount = 0;
    const auto script = [&](const std::string &request, int) {
        const auto id = requestHeader(request, "X-Heatherridge-Request-Id");
        return requestCount++ == 0
            ? Actions{{.bytes = "HTTP/1.1 200 X\r\nX-Heatherridge-Not-Executed: 1\r\nX-Heatherridge-Request-Id: " + id
                           + "\r\n" + testCase.signature + "Content-Length: 18\r\n\r\nid: 1\ndata: no\n\n\n\n"}}
            : Actions{{.bytes = signedResponse(request, "id: 1\ndata: yes\n\n")}};
    };
    const ScriptedTarget first(script);
    const ScriptedTarget second(script);
    GatewayFixture gateway({&first, &second});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", testCase.path, "r1", "body"));
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, "id: 1\ndata: yes\n\n");
    EXPECT_EQ(requestCount, 2);
}

INSTANTIATE_TEST_SUITE_P(All, SuccessfulRefusals, testing::ValuesIn(RefusalCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
