#include "crowds/withstand.h"

#include "support/httpcalls.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <thread>

namespace Heatherridge
{

namespace
{

using namespace std::chrono_literals;

/** Connections that an ordinary caller opens at most for one request. */
constexpr int MaxTries = 20;
constexpr std::chrono::milliseconds RetryDelay{500};

int statusOf(const std::string &answer)
{
    const auto begin = std::min(answer.find(' ') + 1, answer.size());
    int status = 0;
    std::from_chars(answer.data() + begin, answer.data() + answer.size(), status);
    return status;
}

} // namespace

int answerStatus(const Endpoint &endpoint, const std::string &request, int expected)
{
    constexpr int refusal = 503;
    int status = 0;
    for (int attempt = 0; attempt < MaxTries && status != expected && (status == 0 || status == refusal); ++attempt) {
        std::this_thread::sleep_for(attempt == 0 ? 0ms : RetryDelay);
        status = statusOf(sendRaw(endpoint, request, 5s));
    }
    return status;
}

void expectToWithstand(const ServerUnderTest &server, const CrowdBehaviour &behaviour)
{
    ASSERT_EQ(answerStatus(server.endpoint, server.request, server.status), server.status) << "before the crowd";
    std::this_thread::sleep_for(
        RetryDelay); // until nothing is left of that connection, whose place the caller would get
    std::size_t descriptors = 0;
    std::size_t memory = 0;
    const auto observe = [&] {
        descriptors = std::max(descriptors, server.process.descriptorCount());
        memory = std::max(memory, server.process.peakMemory());
    };
    auto crowd = std::make_unique<Crowd>(server.endpoint, behaviour);
    crowd->press(observe);
    EXPECT_EQ(answerStatus(server.endpoint, server.request, server.status), server.status) << "while the crowd stays";
    observe();
    crowd.reset();
    EXPECT_EQ(answerStatus(server.endpoint, server.request, server.status), server.status) << "after the crowd";
    observe();
    EXPECT_TRUE(server.process.isRunning());
    EXPECT_LE(memory, server.maxMemory);
    EXPECT_LE(descriptors, server.maxDescriptors);
    testing::Test::RecordProperty("memory", std::to_string(memory));
    testing::Test::RecordProperty("descriptors", std::to_string(descriptors));
}

} // namespace Heatherridge
