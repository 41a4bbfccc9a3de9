#include "heatherridge_state/decisions/connectionlimit.h"
#include "heatherridge_state/decisions/connectionretention.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Now{1h};

struct RetentionRow
{
    const char *name;
    std::vector<RetainedConnection> connections;
    std::optional<std::size_t> closed;
};

const RetentionRow RetentionRows[] = {
    {"NoConnections", {}, std::nullopt},
    {"AllBusy", {{ConnectionUse::Busy, Now - 9s}, {ConnectionUse::Busy, Now - 20s}}, std::nullopt},
    {"TheLongestUnused", {{ConnectionUse::Unused, Now - 2s}, {ConnectionUse::Unused, Now - 3s}}, 1},
    {"UnusedBeforeLongerIdle", {{ConnectionUse::Idle, Now - 30s}, {ConnectionUse::Unused, Now - 2s}}, 1},
    {"IdleBeforeNewcomers", {{ConnectionUse::Unused, Now - 100ms}, {ConnectionUse::Idle, Now - 2s}}, 1},
    {"NewcomersBeforeThoseJustAnswered", {{ConnectionUse::Idle, Now - 100ms}, {ConnectionUse::Unused, Now - 50ms}}, 1},
    {"ClosingAsUnused", {{ConnectionUse::Unused, Now - 1500ms}, {ConnectionUse::Closing, Now - 2s}}, 1},
    {"UnreadLast", {{ConnectionUse::Unread, Now - 9s}, {ConnectionUse::Idle, Now}, {ConnectionUse::Busy, Now - 9s}}, 1},
    {"UnreadBeforeBusy", {{ConnectionUse::Busy, Now - 9s}, {ConnectionUse::Unread, Now - 2s}}, 1},
};

class ConnectionRetention : public testing::TestWithParam<RetentionRow>
{
};

// Guards against silent clients that keep ordinary callers out, and against requests in progress that pay for them.
TEST_P(ConnectionRetention, ClosesTheLeastUsefulConnection)
{
    EXPECT_EQ(connectionToClose(GetParam().connections, Now), GetParam().closed);
}

INSTANTIATE_TEST_SUITE_P(All, ConnectionRetention, testing::ValuesIn(RetentionRows),
                         [](const auto &row) { return row.param.name; });

// Guards against an ordinary caller that is closed before its request arrives, while a silent crowd comes again and
// again.
TEST(ConnectionsAgainstACrowd, KeepAnOrdinaryCallerUntilItsRequestArrives)
{
    constexpr std::size_t limit = 100;
    std::vector<RetainedConnection> connections(limit - 1, {ConnectionUse::Unused, Now});
    connections.push_back({ConnectionUse::Unused, Now + 1ms});
    const auto ordinary = connections.size() - 1;
    auto now = Now + 1ms;
    for (std::size_t newcomer = 0; newcomer < limit - 1; ++newcomer) {
        now += 5ms;
        const auto closed = connectionToClose(connections, now);
        ASSERT_TRUE(closed.has_value());
        ASSERT_NE(*closed, ordinary) << newcomer;
        connections[*closed] = {ConnectionUse::Unused, now};
    }
}

struct LimitRow
{
    const char *name;
    ConnectionResources resources;
    std::size_t limit;
};

constexpr std::size_t Mebibyte = 1UL << 20U;

const LimitRow LimitRows[] = {
    {"AsConfigured", {.configured = 1'000, .memory = 256 * Mebibyte, .descriptors = 4'000}, 1'000},
    {"SmallMemory", {.configured = 1'000, .memory = 60 * Mebibyte, .descriptors = 4'000}, 512},
    {"FewDescriptors", {.configured = 1'000, .memory = 256 * Mebibyte, .descriptors = 1'192}, 500},
    {"NoLimitOfDescriptors", {.configured = 1'000, .memory = 256 * Mebibyte}, 1'000},
    {"HardlyAnyDescriptors", {.configured = 1'000, .memory = 256 * Mebibyte, .descriptors = 100}, 16},
    {"FewerConfigured", {.configured = 5, .memory = 256 * Mebibyte, .descriptors = 100}, 5},
};

class ConnectionLimits : public testing::TestWithParam<LimitRow>
{
};

// Guards against callers that take the descriptors and the memory that targets and the log need.
TEST_P(ConnectionLimits, FollowFromTheHost)
{
    EXPECT_EQ(callerConnectionLimit(GetParam().resources), GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(All, ConnectionLimits, testing::ValuesIn(LimitRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
