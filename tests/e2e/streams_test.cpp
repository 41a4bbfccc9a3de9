#include "support/testsite.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

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

/** Returns the answers of an engine that is called directly, without load balancer, with the same prompts and ids. */
std::vector<HttpCallResult> referenceAnswers(const std::vector<HttpCall> &calls,
                                             const std::vector<HttpCallResult> &answers)
{
    const ChildProcess reference("heatherridge-standin",
                                 {"engine", "--step-ms", "0", "--step-us-per-request", "0", "--prefill-us", "0"});
    auto referenceCalls = calls;
    for (std::size_t index = 0; index < calls.size(); ++index) {
        referenceCalls[index].endpoint = reference.endpoints().front();
        referenceCalls[index].request.headers = {
            {.name = "X-Request-Id", .value = std::string(headerValue(answers[index].headers, "X-Request-Id"))}};
    }
    return callAll(referenceCalls);
}

/**
 * Returns whether @p answer is a refusal that a chat caller can act on: the answer had not started, and the refusal
 * states when to retry. Its "ran" may be "unknown" if an attempt was lost with its target before the refusal.
 */
bool isValidRefusal(const HttpCallResult &answer)
{
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    return answer.isComplete && (answer.status == 429 || answer.status == 503) && problem.is_object()
        && problem.value("ran", "yes") != "yes" && !headerValue(answer.headers, "Retry-After").empty();
}

/** Returns the number of tokens that @p engine has generated so far. */
int generatedTokens(const Endpoint &engine)
{
    return nlohmann::json::parse(call(engine, "GET", "/counters").body).value("tokens", 0);
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

/** Kills the processes selected by the row while the first answers are being streamed. */
class ProcessKiller
{
public:
    ProcessKiller(TestSite &site, const KillRow &row)
        : m_site(site)
        , m_row(row)
    {
    }

    /** Called when a caller has received another chunk of an answer. */
    void recordChunk()
    {
        ++m_chunks;
        if (m_row.killsTarget && !m_killed && m_chunks % ChunksPerPoll == 0
            && generatedTokens(m_site.engine(0)) >= TokensBeforeKill) {
            m_killed = true;
            m_site.targetProcess(0).kill();
            if (m_row.killsEntry) {
                m_site.entryProcess(1).kill();
            }
        }
    }

private:
    static constexpr int ChunksPerPoll = 20;
    static constexpr int TokensBeforeKill = 20; // a third of an answer: its streams have started and go on

    TestSite &m_site;
    const KillRow &m_row;
    int m_chunks = 0;
    bool m_killed = false;
};

// Three hundred callers read long answers through two entries, more than the cold engines accept at once: some requests
// are refused with a retry time and are retried. Depending on the row, the process beside one engine is killed while it
// serves streams, and one entry too. Callers of the surviving entry must get complete answers: the entry requests the
// missing tokens from another target. Callers of the killed entry must see their connection closed, never a truncated
// answer that looks complete.
TEST_P(StreamsUnderKills, CallersOfSurvivingEntriesGetCompleteAnswers)
{
    TestSite site({.engines = 8, .entries = 2, .engineFlags = {"--step-ms", "10"}});
    ProcessKiller killer(site, GetParam());
    std::vector<HttpCall> calls;
    for (std::size_t number = 0; number < Streams; ++number) {
        calls.push_back({.endpoint = site.entry(number % 2), .request = chatRequest(number, Tokens)});
    }
    std::size_t wholeCount = 0;
    std::size_t truncatedCount = 0;
    while (!calls.empty()) { // ctest's time limit fails the test if some calls never succeed
        const auto answers = callAll(calls, [&killer](std::size_t, std::size_t) { killer.recordChunk(); });
        const auto expected = referenceAnswers(calls, answers);
        std::vector<HttpCall> retries;
        for (std::size_t index = 0; index < calls.size(); ++index) {
            const auto &answer = answers[index];
            const bool entryIsDead = GetParam().killsEntry && calls[index].endpoint == site.entry(1);
            if (entryIsDead && !answer.isComplete) {
                ++truncatedCount;
                EXPECT_EQ(answer.body.find(DoneEvent), std::string::npos);
            } else if (isValidRefusal(answer)) {
                if (!entryIsDead) {
                    retries.push_back(calls[index]);
                }
            } else {
                ++wholeCount;
                EXPECT_TRUE(answer.isComplete) << answer.status << " after " << answer.body.size() << " bytes";
                EXPECT_EQ(answer.body, expected[index].body);
            }
        }
        calls = std::move(retries);
    }
    // If an entry is killed as well, all lost streams may have been its own.
    if (!GetParam().killsEntry) {
        const auto metrics = call(site.entry(0), "GET", "/metrics").body + call(site.entry(1), "GET", "/metrics").body;
        EXPECT_EQ(metrics.find("heatherridge_streams_resumed_total") != std::string::npos, GetParam().killsTarget);
    }
    EXPECT_GE(wholeCount, GetParam().killsEntry ? Streams / 2 : Streams);
    EXPECT_EQ(truncatedCount > 0, GetParam().killsEntry);
}

INSTANTIATE_TEST_SUITE_P(Table, StreamsUnderKills, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
