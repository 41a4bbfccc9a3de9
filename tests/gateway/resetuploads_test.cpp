#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;
using Kind = TargetAction::Kind;

/** An answer without length to a request whose body is still being sent. */
struct ResetUploadCase
{
    const char *name;
    std::size_t bodyBytes;
    std::chrono::milliseconds pause; ///< between the answer and the reset
};

const ResetUploadCase ResetUploadCases[] = {
    {"Small", 2, 0ms},
    {"Medium", 300'000, 0ms},
    {"Large", 1'000'000, 0ms},
    {"VeryLarge", 4'000'000, 0ms},
    {"VeryLargeAfterAPause", 4'000'000, 5ms},
    {"VeryLargeAfterALongPause", 4'000'000, 30ms},
};

std::string upload(const std::string &id, std::size_t bodyBytes)
{
    return "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: " + id
        + "\r\nX-Heatherridge-Deadline-Ms: 5000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'b');
}

GatewayFixture::Options acceptingUploads()
{
    GatewayFixture::Options options;
    options.config.bounds.maxBodyBytes = 8'000'000;
    return options;
}

class ResetUploads : public testing::TestWithParam<ResetUploadCase>
{
};

// Guards against a part of an answer that is taken for whole because the write noticed the reset, not the read.
TEST_P(ResetUploads, AreNeverAnsweredWithAPart)
{
    constexpr int tries = 24;
    const ScriptedTarget target(
        [](const std::string &request, int) {
            return Actions{{.bytes = unframedResponse(request, "part")},
                           {.kind = Kind::Wait, .duration = GetParam().pause},
                           {.kind = Kind::Reset}};
        },
        "127.0.0.1", ScriptedTarget::Reading::HeadsOnly);
    GatewayFixture gateway({&target}, acceptingUploads());
    for (int index = 0; index < tries; ++index) {
        RawCaller caller(gateway.callerEndpoint());
        caller.send(upload("r" + std::to_string(1'000 + index), GetParam().bodyBytes));
        const auto answer = caller.receive();
        EXPECT_FALSE(answer.status == 200 && answer.isWhole) << answer.head;
        EXPECT_TRUE(answer.isInProtocol);
    }
    EXPECT_GE(target.requests().size(), static_cast<std::size_t>(tries)) << "requests that no target received";
}

INSTANTIATE_TEST_SUITE_P(All, ResetUploads, testing::ValuesIn(ResetUploadCases),
                         [](const auto &info) { return std::string(info.param.name); });

struct EarlyAnswerCase
{
    const char *name;
    std::size_t bodyBytes;
};

const EarlyAnswerCase EarlyAnswerCases[] = {
    {"Small", 2},
    {"Large", 1'000'000},
};

class EarlyAnswers : public testing::TestWithParam<EarlyAnswerCase>
{
};

// Guards against a whole answer without length that is lost because its request was still being sent when it ended.
TEST_P(EarlyAnswers, ArePassedOnWhole)
{
    const ScriptedTarget target(
        [](const std::string &request, int) {
            return Actions{{.bytes = unframedResponse(request, "whole")}, {.kind = Kind::EndOutput}};
        },
        "127.0.0.1", ScriptedTarget::Reading::HeadsOnly);
    GatewayFixture gateway({&target}, acceptingUploads());
    for (int index = 0; index < 12; ++index) {
        RawCaller caller(gateway.callerEndpoint());
        caller.send(upload("r" + std::to_string(1'000 + index), GetParam().bodyBytes));
        const auto answer = caller.receive();
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.isWhole);
        EXPECT_EQ(answer.body, "whole");
    }
}

INSTANTIATE_TEST_SUITE_P(All, EarlyAnswers, testing::ValuesIn(EarlyAnswerCases),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
