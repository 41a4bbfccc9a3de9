#include "crowds/behaviours.h"
#include "crowds/gatewayprocess.h"
#include "crowds/withstand.h"
#include "heatherridge_transport/direct/sidecarrankclient.h"
#include "support/httpcalls.h"
#include "support/scriptedtarget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <thread>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t BytesPerMebibyte = 1UL << 20U;
/** For how long the process calls servers whose responses never end. */
constexpr std::chrono::seconds CallTime{3};

/** A response that never ends. */
struct EndlessRow
{
    const char *name;
    std::string start; ///< after the status line
    std::string repeated; ///< again and again after it; if empty, nothing follows
};

std::ostream &operator<<(std::ostream &stream, const EndlessRow &row)
{
    return stream << row.name;
}

const std::string Filler(16'000, 'x');
constexpr std::size_t HeadBytes = 60'000; // within the limit of the client

const EndlessRow EndlessRows[] = {
    {"ManyShortFields", shortHeaders(HeadBytes), ""},
    {"BodyWithoutEnd", "\r\n", Filler},
    {"ChunksWithoutEnd", "Transfer-Encoding: chunked\r\n\r\n", "3e80\r\n" + Filler + "\r\n"},
};

class EndlessServers : public testing::TestWithParam<EndlessRow>
{
protected:
    static std::vector<TargetAction> answer(const std::string &, int)
    {
        const auto &row = GetParam();
        return {{.bytes = "HTTP/1.1 200 X\r\n" + row.start},
                {.kind = row.repeated.empty() ? TargetAction::Kind::AwaitClose : TargetAction::Kind::SendUntilClosed,
                 .bytes = row.repeated}};
    }

    static void expectToStayWithin(const ChildProcess &process, std::size_t mebibytes)
    {
        std::size_t memory = 0;
        for (const auto end = std::chrono::steady_clock::now() + CallTime; std::chrono::steady_clock::now() < end;) {
            memory = std::max(memory, process.peakMemory());
            std::this_thread::sleep_for(20ms);
        }
        EXPECT_TRUE(process.isRunning());
        EXPECT_LE(memory, mebibytes * BytesPerMebibyte);
        RecordProperty("memory", std::to_string(memory));
    }
};

// Guards against an engine whose responses to the questions of many gateways take the memory of its host.
TEST_P(EndlessServers, LeaveASidecarAlive)
{
    constexpr std::size_t memoryMebibytes = 128; // of the host of a model engine
    constexpr int gateways = 100;
    const ScriptedTarget engine(answer);
    const ChildProcess sidecar("heatherridge-sidecar",
                               {"--name", "s", "--zone", "a", "--listen", "127.0.0.1:0", "--engine",
                                toString(engine.endpoint()), "--log-service", "127.0.0.1:1", "--log-stream",
                                "standard-output"});
    std::vector<HttpCall> calls;
    calls.reserve(gateways);
    for (int gateway = 0; gateway < gateways; ++gateway) {
        calls.push_back({.endpoint = sidecar.endpoints().front(),
                         .request = {.method = "GET",
                                     .path = std::string(SidecarPaths::Counts),
                                     .headers = {{std::string(SidecarPaths::TargetHeader), "e"}}},
                         .timeout = CallTime});
    }
    const auto asking = std::async(std::launch::async, [&] { return callAll(calls); });
    expectToStayWithin(sidecar, memoryMebibytes);
    EXPECT_GT(engine.requests().size(), 0U);
    EXPECT_EQ(
        answerStatus(sidecar.endpoints().front(), "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 404),
        404);
}

// Guards against a log whose responses take the memory of the host of a gateway.
TEST_P(EndlessServers, LeaveAGatewayAlive)
{
    constexpr std::size_t memoryMebibytes = 112;
    constexpr std::size_t maxConnections = 200;
    const ScriptedTarget log(answer);
    const ChildProcess gateway("heatherridge-gateway",
                               gatewayArguments({.ready = freeEndpoint(),
                                                 .metrics = freeEndpoint(),
                                                 .log = log.endpoint(),
                                                 .memoryMebibytes = memoryMebibytes,
                                                 .maxConnections = maxConnections}));
    expectToStayWithin(gateway, memoryMebibytes);
    EXPECT_GT(log.requests().size(), 0U);
    EXPECT_EQ(answerStatus(gateway.endpoints().front(),
                           "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Heatherridge-Request-Id: ordinary\r\nConnection: "
                           "close\r\n\r\n",
                           503),
              503);
}

INSTANTIATE_TEST_SUITE_P(All, EndlessServers, testing::ValuesIn(EndlessRows),
                         [](const auto &info) { return info.param.name; });

} // namespace
