#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;

std::string refusalOf(const std::string &request)
{
    return "HTTP/1.1 503 Full\r\nX-Heatherridge-Request-Id: " + requestHeader(request, "X-Heatherridge-Request-Id")
        + "\r\nX-Heatherridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

struct RepeatedRefusalCase
{
    const char *name;
    const char *path;
    std::string (*answer)(const std::string &request);
    const char *body; ///< that the caller gets
};

const RepeatedRefusalCase RepeatedRefusalCases[] = {
    {"Booking", "/book/1", [](const auto &request) { return signedResponse(request, "booked"); }, "booked"},
    {"LookUp", "/look/1", [](const auto &request) { return signedResponse(request, "found"); }, "found"},
    {"Stream", "/stream/1", [](const auto &request) { return signedResponse(request, "id: 1\ndata: x\n\n"); },
     "id: 1\ndata: x\n\n"},
};

class RepeatedRefusals : public testing::TestWithParam<RepeatedRefusalCase>
{
};

// Guards against a second refusal of the first attempt that passes for the answer of the second attempt: both have the
// request id of the caller, so the request would run once more while its second attempt runs.
TEST_P(RepeatedRefusals, AreNotTakenForTheAnswerOfALaterAttempt)
{
    const auto &testCase = GetParam();
    std::mutex mutex;
    std::optional<std::thread::id> refusingConnection; // the target serves each connection on a thread of its own
    std::atomic<int> runs = 0;
    const ScriptedTarget target([&](const std::string &request, int) {
        const std::lock_guard lock(mutex);
        if (!refusingConnection) {
            refusingConnection = std::this_thread::get_id();
            return Actions{{.bytes = refusalOf(request)}};
        }
        ++runs;
        Actions actions;
        if (refusingConnection == std::this_thread::get_id()) {
            actions = {{.bytes = refusalOf(request)}, {.kind = TargetAction::Kind::Wait, .duration = 100ms}};
        }
        actions.push_back({.bytes = testCase.answer(request)});
        return actions;
    });
    GatewayFixture gateway({&target});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", testCase.path, "r1", "body"));
    const auto answer = caller.receive();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, testCase.body);
    EXPECT_EQ(runs, 1);
}

INSTANTIATE_TEST_SUITE_P(All, RepeatedRefusals, testing::ValuesIn(RepeatedRefusalCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
