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

INSTANTIATE_TEST_SUITE_P(All, HttpMessages, testing::ValuesIn(MessageCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
