#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <memory>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t HeldLimit = 300'000;
constexpr std::size_t LargeAnswer = 4'000'000; ///< more than the kernel buffers for one connection

/** Answers look-ups below /look/large with a large body and everything else with a small one. */
std::vector<TargetAction> answer(const std::string &request, int)
{
    const bool isLarge = request.find("/look/large") != std::string::npos;
    return {{.bytes = signedResponse(request, std::string(isLarge ? LargeAnswer : 4, 'x'))}};
}

// Guards against callers that do not read, whose answers fill the memory of the host and end the process for all.
TEST(SlowReaders, AreEndedWithoutHarmToOtherCallers)
{
    ScriptedTarget target(answer);
    GatewayFixture gateway({&target}, {.maxHeldBytes = HeldLimit});
    RawCaller slow(gateway.callerEndpoint());
    slow.send(requestText("GET", "/look/large", "slow"));
    std::this_thread::sleep_for(500ms);
    for (int request = 0; request < 5; ++request) {
        RawCaller quick(gateway.callerEndpoint());
        quick.send(requestText("GET", "/look/1", "quick" + std::to_string(request)));
        const auto response = quick.receive();
        EXPECT_EQ(response.status, 200);
        EXPECT_TRUE(response.isWhole);
    }
    EXPECT_FALSE(slow.receive().isWhole) << "it gets a truncated answer that does not look complete";
}

// Guards against a slow caller's stream that is taken from a sound target: the target is silent because the gateway
// reads no more.
TEST(SlowReaders, KeepTheTargetOfTheirStream)
{
    constexpr int events = 40; // together more than the kernel buffers for both connections
    std::string body;
    for (int id = 1; id <= events; ++id) {
        body += "id: " + std::to_string(id) + "\ndata: " + std::string(200'000, 'x') + "\n\n";
    }
    const auto stream = [&body](const std::string &request, int) {
        return std::vector<TargetAction>{{.bytes = signedResponse(request, body)}};
    };
    ScriptedTarget first(stream);
    ScriptedTarget second(stream);
    auto config = GatewayFixture::defaultConfig();
    for (auto &route : config.routes) {
        route.timeout = 30s;
    }
    GatewayFixture gateway({&first, &second}, {.config = config});
    RawCaller caller(gateway.callerEndpoint());
    caller.send(requestText("POST", "/stream/1", "slow", "prompt"));
    std::this_thread::sleep_for(2'500ms); // over twice the time after which a target counts as silent
    const auto answer = caller.receive();
    EXPECT_TRUE(answer.isWhole);
    EXPECT_TRUE(answer.body == body) << answer.body.size() << " bytes of " << body.size();
    EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

// Guards against callers that together send more than the host can hold.
TEST(LargeSenders, AreRefusedAsNotRunWithoutHarmToOtherCallers)
{
    ScriptedTarget target(answer);
    GatewayFixture gateway({&target}, {.maxHeldBytes = HeldLimit});
    constexpr std::size_t bodySize = 90'000;
    std::vector<std::unique_ptr<RawCaller>> senders;
    for (int index = 0; index < 5; ++index) {
        senders.push_back(std::make_unique<RawCaller>(gateway.callerEndpoint()));
        const auto text = requestText("POST", "/book/1", "large" + std::to_string(index), std::string(bodySize, 'b'));
        senders.back()->send(text.substr(0, text.size() - 1)); // the last byte is missing
    }
    std::this_thread::sleep_for(300ms);
    RawCaller quick(gateway.callerEndpoint());
    quick.send(requestText("GET", "/look/1", "quick"));
    EXPECT_EQ(quick.receive().status, 200);
    int refused = 0;
    int served = 0;
    for (auto &sender : senders) {
        sender->send("b");
        const auto status = sender->receive().status;
        refused += status == 503 ? 1 : 0;
        served += status == 200 ? 1 : 0;
    }
    EXPECT_EQ(served, 3) << "as many as fit";
    EXPECT_EQ(refused, 2);
    EXPECT_EQ(target.requests().size(), 4U) << "no refused request has run";
}

} // namespace
