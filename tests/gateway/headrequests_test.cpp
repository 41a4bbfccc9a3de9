#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

using Actions = std::vector<TargetAction>;

const std::string Event = "id: 1\ndata: a\n\n";

// Guards against the last chunk after the response to a HEAD request, which has no body: on a kept connection it would
// be read as the beginning of the next response.
TEST(HeadRequests, OnStreamingRoutesAreAnsweredWithoutChunks)
{
    const ScriptedTarget target([](const auto &request, int) {
        const bool isHead = request.starts_with("HEAD ");
        return Actions{{.bytes = isHead ? unframedResponse(request, "") : signedResponse(request, Event)}};
    });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("HEAD", "/stream/1", "r1") + requestText("GET", "/look/1", "r2"));
    EXPECT_EQ(caller.receive(true).status, 200);
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.isInProtocol);
    EXPECT_EQ(answer.body, Event);
}

struct HeadRejectionCase
{
    const char *name;
    std::string headers; ///< of the request
    int status; ///< of the rejection
};

const HeadRejectionCase HeadRejectionCases[] = {
    {"LongHeader", "X-Long: " + std::string(5'000, 'x') + "\r\n", 431},
    {"LargeBody", "Content-Length: 1000000\r\n", 413},
};

class HeadRejections : public testing::TestWithParam<HeadRejectionCase>
{
};

// Guards against a body after the head of the rejection of a HEAD request.
TEST_P(HeadRejections, HaveNoBody)
{
    const ScriptedTarget target(
        [](const auto &request, int) { return Actions{{.bytes = signedResponse(request, "")}}; });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("HEAD", "/look/1", "r1", {}, GetParam().headers));
    EXPECT_EQ(caller.receive(true).status, GetParam().status);
    const auto rest = caller.receive();
    EXPECT_TRUE(rest.status == 0 && rest.isInProtocol) << "bytes after the head";
}

INSTANTIATE_TEST_SUITE_P(All, HeadRejections, testing::ValuesIn(HeadRejectionCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
