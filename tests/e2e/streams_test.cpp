#include "support/testsite.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace Heatherridge;

namespace
{

constexpr std::size_t Streams = 300;
constexpr int Tokens = 60;
constexpr const char *DoneEvent = "data: [DONE]\n\n";

HttpRequest chatRequest(std::size_t number, int tokens)
{
    const nlohmann::json body{{"model", "chip-llm"},
                              {"messages", {{{"role", "user"}, {"content", "load " + std::to_string(number)}}}},
                              {"max_tokens", tokens},
                              {"stream", true}};
    return {.method = "POST",
            .path = "/v1/chat/completions",
            .headers = {{.name = "X-Workspace", .value = number % 2 == 0 ? "mills" : "buyers"}},
            .body = body.dump()};
}

/** What an engine answers to the same prompts under the same ids, without anything in between. */
std::vector<HttpAnswer> directAnswers(const std::vector<HttpCall> &calls, const std::vector<HttpAnswer> &answers)
{
    const ChildProcess reference("heatherridge-standin",
                                 {"engine", "--step-ms", "0", "--step-us-per-request", "0", "--prefill-us", "0"});
    auto direct = calls;
    for (std::size_t index = 0; index < calls.size(); ++index) {
        direct[index].endpoint = reference.endpoints().front();
        direct[index].request.headers = {
            {.name = "X-Request-Id", .value = std::string(headerValue(answers[index].headers, "X-Request-Id"))}};
    }
    return callAll(direct);
}

/** Lets the targets' concurrency limits grow from their cold start until all streams find a place at once. */
void warmUp(const TestSite &site)
{
    constexpr int shortAnswer = 10;
    std::size_t answered = 0;
    while (answered < Streams) { // ctest's time limit fails the test if it never comes
        std::vector<HttpCall> calls;
        for (std::size_t number = 0; number < Streams; ++number) {
            calls.push_back({.endpoint = site.entry(number % 2), .request = chatRequest(number, shortAnswer)});
        }
        const auto answers = callAll(calls);
        answered = static_cast<std::size_t>(std::count_if(
            answers.begin(), answers.end(), [](const HttpAnswer &answer) { return answer.status == 200; }));
    }
}

struct KillRow
{
    const char *name;
    bool killsTarget;
    bool killsEntry;
};

const KillRow Rows[] = {{"Quiet", false, false}, {"TargetProcess", true, false}, {"TargetProcessAndEntry", true, true}};

class StreamsUnderKills : public testing::TestWithParam<KillRow>
{
};

// Three hundred buyers read long answers through two entries. The process beside one engine is killed with dozens of
// streams on it, then one entry. Callers of the other entry see their answers go on and end whole: the entry asks
// another target for the tokens that are missing. Callers of the dead entry see their connection cut, never an answer
// that looks whole and is not, and nobody sees a word of another's answer.
TEST_P(StreamsUnderKills, CallersOfTheEntryThatLivesGetTheirWholeOwnAnswers)
{
    TestSite site({.engines = 8, .entries = 2, .engineFlags = {"--step-ms", "10"}});
    warmUp(site);
    std::vector<HttpCall> calls;
    for (std::size_t number = 0; number < Streams; ++number) {
        calls.push_back({.endpoint = site.entry(number % 2), .request = chatRequest(number, Tokens)});
    }
    std::size_t pieces = 0;
    const auto answers = callAll(calls, [&](std::size_t, std::size_t) {
        ++pieces;
        if (GetParam().killsTarget && pieces == Streams * Tokens / 4) {
            site.targetProcess(0).kill();
        }
        if (GetParam().killsEntry && pieces == Streams * Tokens / 2) {
            site.entryProcess(1).kill();
        }
    });
    const auto direct = directAnswers(calls, answers);
    std::size_t whole = 0;
    std::size_t broken = 0;
    for (std::size_t number = 0; number < Streams; ++number) {
        const auto &answer = answers[number];
        if (GetParam().killsEntry && number % 2 == 1 && !answer.whole) {
            ++broken;
            EXPECT_EQ(answer.body.find(DoneEvent), std::string::npos) << number;
            continue;
        }
        EXPECT_TRUE(answer.whole) << number << " after " << answer.body.size() << " bytes";
        EXPECT_EQ(answer.status, 200) << number << ": " << answer.body;
        EXPECT_EQ(answer.body, direct[number].body) << number;
        ++whole;
    }
    const auto metrics = call(site.entry(0), "GET", "/metrics").body;
    EXPECT_EQ(metrics.find("heatherridge_streams_resumed_total") != std::string::npos, GetParam().killsTarget);
    EXPECT_GE(whole, Streams / 2);
    EXPECT_EQ(broken > 0, GetParam().killsEntry);
}

INSTANTIATE_TEST_SUITE_P(Table, StreamsUnderKills, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
