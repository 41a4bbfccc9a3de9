#include "support/testsite.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace Heatherridge;

namespace
{

constexpr std::size_t Streams = 12;
constexpr int Tokens = 40;

struct ShutdownRow
{
    const char *name;
    bool stopsEntry; ///< otherwise the process beside the engine is stopped
    const char *entryDrain; ///< the entry's drain timeout in milliseconds
    bool mustAllBeWhole; ///< whether all streams must end complete
};

const ShutdownRow Rows[] = {
    {"EntryWaitsForItsStreams", true, "60000", true},
    {"EntryDrainTimesOut", true, "50", false},
    {"TargetProcessWaitsForItsStreams", false, "60000", true},
};

class ShutdownWithOpenStreams : public testing::TestWithParam<ShutdownRow>
{
};

std::vector<HttpCall> makeStreamCalls(const TestSite &site)
{
    std::vector<HttpCall> calls;
    for (std::size_t number = 0; number < Streams; ++number) {
        const nlohmann::json body{{"model", "chip-llm"},
                                  {"messages", {{{"role", "user"}, {"content", std::to_string(number)}}}},
                                  {"max_tokens", Tokens},
                                  {"stream", true}};
        calls.push_back({.endpoint = site.entry(0),
                         .request = {.method = "POST",
                                     .path = "/v1/chat/completions",
                                     .headers = {{.name = "X-Workspace", .value = "mills"}},
                                     .body = body.dump()}});
    }
    return calls;
}

// A process is stopped with SIGTERM while callers read their answers. The answers must end complete, and the process
// must exit with code 0. Only when the drain timeout has passed are answers truncated, visibly for the caller, and the
// process must still exit cleanly. Guards against a crash when open calls outlive the server through which they are
// answered.
TEST_P(ShutdownWithOpenStreams, CompletesStreamsUntilTheDrainTimeoutAndExitsCleanly)
{
    const auto &row = GetParam();
    TestSite site({.engines = 2,
                   .entries = 1,
                   .engineFlags = {"--step-ms", "10"},
                   .entryFlags = {"--drain-timeout", row.entryDrain}});
    auto &stopped = row.stopsEntry ? site.entryProcess(0) : site.targetProcess(0);
    std::size_t chunks = 0;
    const auto answers = callAll(makeStreamCalls(site), [&](std::size_t, std::size_t) {
        if (++chunks == Streams) {
            stopped.signal(SIGTERM);
        }
    });
    EXPECT_EQ(stopped.wait(), 0);
    std::size_t wholeCount = 0;
    for (const auto &answer : answers) {
        wholeCount += answer.isComplete && answer.status == 200 ? 1 : 0;
    }
    if (row.mustAllBeWhole) {
        EXPECT_EQ(wholeCount, Streams);
    } else {
        EXPECT_LT(wholeCount, Streams);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, ShutdownWithOpenStreams, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
