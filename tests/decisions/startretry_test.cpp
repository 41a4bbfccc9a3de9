#include "heatherridge_state/decisions/startretry.h"

#include <gtest/gtest.h>

#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

struct FailureCase
{
    const char *name;
    std::vector<std::chrono::milliseconds> failures; ///< when attempts fail
    std::chrono::milliseconds at; ///< of the last one
    bool isRetried;
};

const FailureCase FailureCases[] = {
    {"First", {}, 0ms, true},
    {"WithinPatience", {0ms, 1'000ms}, 1'900ms, true},
    {"LastDelayFitsNot", {0ms}, 1'901ms, false},
    {"AfterPatience", {0ms}, 5'000ms, false},
    {"PatienceBeginsWithTheFirstFailure", {10'000ms}, 11'000ms, true},
};

class StartFailures : public testing::TestWithParam<FailureCase>
{
};

// Guards against a process that gives up while its port is still held, or never does.
TEST_P(StartFailures, AreRetriedWithinPatience)
{
    StartRetry retry({.patience = 2s, .delay = 100ms});
    for (const auto failure : GetParam().failures) {
        retry.delayAfterFailure(SteadyTime(failure));
    }
    const auto delay = retry.delayAfterFailure(SteadyTime(GetParam().at));
    EXPECT_EQ(delay, GetParam().isRetried ? std::optional(100ms) : std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(All, StartFailures, testing::ValuesIn(FailureCases),
                         [](const auto &info) { return std::string(info.param.name); });

// Replays a rolling restart: the process before holds the port for its grace period.
TEST(StartRetryReplay, OutlastsTheGracePeriodOfTheProcessBefore)
{
    constexpr auto grace = 8s;
    StartRetry retry({.patience = 30s});
    SteadyTime now(100s);
    const auto released = now + grace;
    while (now < released) {
        const auto delay = retry.delayAfterFailure(now);
        ASSERT_TRUE(delay);
        now += *delay;
    }
}

} // namespace
