#include "heatherridge_transport/http/httpmessagereader.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

using Side = HttpMessageReader::Side;
using State = HttpMessageReader::State;

struct MessageCase
{
    const char *name;
    Side side;
    std::string bytes;
    State state; ///< after the bytes
    std::string body = {};
};

const std::string ChunkedHead = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";

const MessageCase MessageCases[] = {
    {"BlankLines", Side::Requests, "\r\n\r\n", State::Idle},
    {"BlankLinesBeforeARequest", Side::Requests, "\r\n\r\nGET / HTTP/1.1\r\n\r\n", State::Complete},
    {"PartOfAHead", Side::Requests, "GET / HTTP/1.1\r\nHost: h\r\n", State::Head},
    {"Length", Side::Responses, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok", State::Complete, "ok"},
    {"BodyOfCrs", Side::Responses, "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n\r\r\r", State::Complete, "\r\r\r"},
    {"BodyUntilTheEnd", Side::Responses, "HTTP/1.1 200 X\r\n\r\n\ra", State::Body, "\ra"},
    {"Chunks", Side::Responses, ChunkedHead + "2\r\nab\r\n3;x=y\r\nc\rd\r\n0\r\nX: a\r\n\r\n", State::Complete,
     "abc\rd"},
    {"ChunkThatEndsWithCr", Side::Responses, ChunkedHead + "2\r\na\r\r\n1\r\n\n\r\n0\r\n\r\n", State::Complete,
     "a\r\n"},
    {"ChunkLongerThanItsSize", Side::Responses, ChunkedHead + "2\r\nabXY0\r\n\r\n", State::Malformed, "ab"},
    {"ChunkFollowedByCrOnly", Side::Responses, ChunkedHead + "2\r\nab\rY0\r\n\r\n", State::Malformed, "ab"},
    {"ChunkSizeEndedByCrOnly", Side::Responses, ChunkedHead + "2\rXab\r\n0\r\n\r\n", State::Malformed},
    {"LastChunkEndedByCrOnly", Side::Responses, ChunkedHead + "0\r\n\rX", State::Malformed},
    {"HeadEndedByCrOnly", Side::Responses, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\rX", State::Malformed},
    {"ChunkOfARequestLongerThanItsSize", Side::Requests,
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabXY0\r\n\r\n", State::Malformed, "ab"},
};

class HttpMessages : public testing::TestWithParam<MessageCase>
{
};

// Guards against chunks whose size does not match their bytes, which the parser library accepts, so that a garbled body
// passes for whole, wherever the bytes are divided between two reads.
TEST_P(HttpMessages, EndWhereTheirFramingSaysHoweverTheyArrive)
{
    const auto &testCase = GetParam();
    const std::string_view bytes = testCase.bytes;
    for (std::size_t first = 0; first < bytes.size(); ++first) {
        std::string body;
        HttpMessageReader reader(
            testCase.side, [](const HttpMessageHead &) { return true; },
            [&body](std::string_view piece) { body.append(piece); });
        const auto consumed = reader.feed(bytes.substr(0, first)) + reader.feed(bytes.substr(first));
        EXPECT_EQ(reader.state(), testCase.state) << first;
        EXPECT_EQ(body, testCase.body) << first;
        EXPECT_TRUE(testCase.state == State::Malformed || consumed == bytes.size()) << first;
    }
}

std::string headWithStatus(const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
}

std::string headWithLine(const std::string &line)
{
    return "HTTP/1.1 200 X\r\nX-Signature: a\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
}

const MessageCase HeadCases[] = {
    {"Status200", Side::Responses, headWithStatus("200 OK"), State::Complete},
    {"StatusWithoutReason", Side::Responses, headWithStatus("204"), State::Complete},
    {"Status000", Side::Responses, headWithStatus("000 X"), State::Malformed},
    {"Status099", Side::Responses, headWithStatus("099 X"), State::Malformed},
    {"Status600", Side::Responses, headWithStatus("600 X"), State::Malformed},
    {"StatusOfTwoDigits", Side::Responses, headWithStatus("20 X"), State::Malformed},
    {"StatusOfFourDigits", Side::Responses, headWithStatus("0200 X"), State::Malformed},
    {"StatusAndALetter", Side::Responses, headWithStatus("200X"), State::Malformed},
    {"NameWithABlank", Side::Responses, headWithLine("X A: 1"), State::Malformed},
    {"NameEndsWithABlank", Side::Responses, headWithLine("X-A : 1"), State::Malformed},
    {"NameWithATab", Side::Responses, headWithLine("X\tA: 1"), State::Malformed},
    {"NameWithAControlByte", Side::Responses, headWithLine("X\x01: 1"), State::Malformed},
    {"NameWithAByteBeyondAscii", Side::Responses, headWithLine("X\x80: 1"), State::Malformed},
    {"NameWithQuotes", Side::Responses, headWithLine("\"X\": 1"), State::Malformed},
    {"NameWithParentheses", Side::Responses, headWithLine("X(1): 1"), State::Malformed},
    {"EmptyName", Side::Responses, headWithLine(": 1"), State::Malformed},
    {"NoColon", Side::Responses, headWithLine("X-A 1"), State::Malformed},
    {"ValueWithAControlByte", Side::Responses, headWithLine("X-A: \x01"), State::Malformed},
    {"ValueWithATab", Side::Responses, headWithLine("X-A: a\tb"), State::Complete},
    {"ValueBeyondAscii", Side::Responses, headWithLine("X-A: \x80"), State::Complete},
    {"LineThatBeginsWithABlank", Side::Responses, headWithLine(" b"), State::Malformed},
    {"LineThatBeginsWithATab", Side::Responses, headWithLine("\tb"), State::Malformed},
    {"LineOfARequestThatBeginsWithABlank", Side::Requests, "GET / HTTP/1.1\r\nX-A: 1\r\n b\r\n\r\n", State::Malformed},
    {"TrailerThatBeginsWithABlank", Side::Responses, ChunkedHead + "0\r\nX: a\r\n b\r\n\r\n", State::Malformed},
};

INSTANTIATE_TEST_SUITE_P(Heads, HttpMessages, testing::ValuesIn(HeadCases),
                         [](const auto &row) { return row.param.name; });

INSTANTIATE_TEST_SUITE_P(All, HttpMessages, testing::ValuesIn(MessageCases),
                         [](const auto &row) { return row.param.name; });

struct HeadLimitCase
{
    const char *name;
    std::string bytes;
    std::size_t limit;
    State state; ///< after the bytes
};

const std::string SmallHead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

const HeadLimitCase HeadLimitCases[] = {
    {"AtTheLimit", SmallHead, SmallHead.size(), State::Complete},
    {"OneByteBeyond", SmallHead, SmallHead.size() - 1, State::Malformed},
    {"BeforeItsEnd", SmallHead.substr(0, 20), 19, State::Malformed},
    {"BlankLinesDoNotCount", "\r\n\r\n" + SmallHead, SmallHead.size(), State::Complete},
    {"TooManyBlankLines", "\r\n\r\n\r\n", 5, State::Malformed},
    {"BodyDoesNotCount", "POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n" + std::string(99, 'x'), 50, State::Complete},
    {"TrailersDoNotCount",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: " + std::string(99, 'x') + "\r\n\r\n", 50,
     State::Complete},
};

class HeadLimits : public testing::TestWithParam<HeadLimitCase>
{
};

// Guards against heads that take memory beyond their limit until they are complete, which is never.
TEST_P(HeadLimits, HoldAtTheByteThatExceedsThemHoweverTheyArrive)
{
    const auto &testCase = GetParam();
    const std::string_view bytes = testCase.bytes;
    for (std::size_t first = 0; first < bytes.size(); ++first) {
        HttpMessageReader reader(
            Side::Requests, [](const HttpMessageHead &) { return true; }, [](std::string_view) {});
        reader.setMaxHeadBytes(testCase.limit);
        reader.feed(bytes.substr(0, first));
        reader.feed(bytes.substr(first));
        EXPECT_EQ(reader.state(), testCase.state) << first;
        EXPECT_EQ(reader.isHeadTooLarge(), testCase.state == State::Malformed) << first;
    }
}

INSTANTIATE_TEST_SUITE_P(All, HeadLimits, testing::ValuesIn(HeadLimitCases),
                         [](const auto &row) { return row.param.name; });

// Guards against trailers, and heads that were handed on, which a connection kept until its next request.
TEST(HeadMemory, IsHeldUntilTheHeadIsComplete)
{
    HttpMessageReader reader(
        Side::Requests, [](const HttpMessageHead &) { return true; }, [](std::string_view) {});
    reader.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX-Note: " + std::string(1'000, 'x') + "\r\n");
    EXPECT_GE(reader.heldBytes(), 1'000U);
    reader.feed("\r\n0\r\n");
    EXPECT_EQ(reader.heldBytes(), 0U);
    reader.feed("X-Note: " + std::string(1'000, 'x') + "\r\n");
    EXPECT_EQ(reader.heldBytes(), 0U);
}

} // namespace
