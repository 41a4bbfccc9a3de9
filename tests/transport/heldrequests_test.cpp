#include "heatherridge_transport/target/heldrequests.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

HeldRequest makeHeldRequest(const char *id, std::uint64_t requiredOffset, SteadyTime arrived)
{
    return {
        .request = {.id = RequestId(id)}, .requiredOffset = static_cast<LogOffset>(requiredOffset), .arrived = arrived};
}

// An operator withdraws a target. An entry receives the change first and sends a request based on the new
// configuration. The target's process must not decide with the old one: the request is held until the process has
// caught up, and is returned if that takes too long.
TEST(HeldRequests, AreReleasedOnceConfiguredOrReportedLate)
{
    const SteadyTime start{};
    HeldRequests requests;
    ASSERT_TRUE(requests.add(makeHeldRequest("soon", 5, start)));
    ASSERT_TRUE(requests.add(makeHeldRequest("later", 6, start + 10ms)));
    ASSERT_TRUE(requests.add(makeHeldRequest("gone", 5, start)));
    requests.remove(RequestId("gone"));
    const auto first = requests.release(static_cast<LogOffset>(5), start - 1ms);
    ASSERT_EQ(first.ready.size(), 1U);
    EXPECT_EQ(first.ready.front().request.id, RequestId("soon"));
    EXPECT_TRUE(first.expired.empty());
    EXPECT_FALSE(requests.isEmpty());
    const auto second = requests.release(static_cast<LogOffset>(5), start + 10ms);
    EXPECT_TRUE(second.ready.empty());
    EXPECT_EQ(second.expired.size(), 1U);
    EXPECT_TRUE(requests.isEmpty());
}

TEST(HeldRequests, AreBounded)
{
    HeldRequests requests;
    for (std::size_t i = 0; i < HeldRequests::MaxRequests; ++i) {
        ASSERT_TRUE(requests.add(makeHeldRequest("x", 1, {})));
    }
    EXPECT_FALSE(requests.add(makeHeldRequest("x", 1, {})));
}

} // namespace
