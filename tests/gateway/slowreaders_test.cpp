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
