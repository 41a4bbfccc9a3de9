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
    bool stopsEntry; ///< else the process beside the engine
    const char *entryDrain; ///< the entry's drain timeout in milliseconds
    bool mustAllBeWhole; ///< whether all streams must end whole
};

const ShutdownRow Rows[] = {
    {"EntryWaitsForItsStreams", true, "60000", true},
    {"EntryGivesUpWaiting", true, "50", false},
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

// An operator stops a process while callers read their answers. Callers see their answers end whole, and the process
// ends with code 0. Only where the time to wait has passed are answers cut, visibly, and the process ends cleanly all
// the same: once it crashed, as open calls outlived the server that they were to be answered through.
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
        wholeCount += answer.whole && answer.status == 200 ? 1 : 0;
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
