#include "support/testsite.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace Heatherridge;

namespace
{

HttpCall makeChatCall(const TestSite &site, const std::string &workspace, const std::string &prompt, int tokens)
{
    const nlohmann::json body{{"model", "chip-llm"},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}},
                              {"max_tokens", tokens},
                              {"stream", true}};
    return {.endpoint = site.entry(0),
            .request = {.method = "POST",
                        .path = "/v1/chat/completions",
                        .headers = {{.name = "X-Workspace", .value = workspace}},
                        .body = body.dump()}};
}

/** Returns the number of requests that engine @p index has received. */
std::uint64_t requestCount(const TestSite &site, std::size_t index)
{
    const auto counters = nlohmann::json::parse(call(site.engine(index), "GET", "/counters").body);
    return counters.value("requests", std::uint64_t{0});
}

// One of four engines becomes twenty times slower, as if behind a straggler rank, while callers keep sending requests.
// Until the entry detects this, one answer in four is late; after that the slow engine must receive far less than its
// share.
TEST(Overload, SlowTargetReceivesLessWork)
{
    constexpr std::size_t engines = 4;
    constexpr int callsPerWave = 40;
    constexpr int tokens = 20;
    constexpr int waves = 8;
    const TestSite site({.engines = engines, .engineFlags = {"--step-ms", "5"}});
    ASSERT_EQ(call(site.engine(0), "POST", "/faults", R"({"step-ms":100})").status, 200);
    std::vector<std::uint64_t> before(engines);
    for (int wave = 0; wave < waves; ++wave) {
        if (wave == waves / 2) {
            for (std::size_t index = 0; index < engines; ++index) {
                before[index] = requestCount(site, index);
            }
        }
        std::vector<HttpCall> batch;
        batch.reserve(callsPerWave);
        for (int number = 0; number < callsPerWave; ++number) {
            batch.push_back(
                makeChatCall(site, "mills", "load " + std::to_string(wave * callsPerWave + number), tokens));
        }
        for (const auto &answer : callAll(batch)) {
            EXPECT_EQ(answer.status, 200) << answer.body;
        }
    }
    std::uint64_t others = 0;
    for (std::size_t index = 1; index < engines; ++index) {
        others += requestCount(site, index) - before[index];
    }
    EXPECT_LT(2 * (engines - 1) * (requestCount(site, 0) - before[0]), others);
}

struct LoadRow
{
    const char *name;
    std::size_t mills; ///< number of calls from the workspace of weight 4
    std::size_t buyers; ///< number of calls from the workspace of weight 1
    bool areMillsServedInFull;
};

const LoadRow LoadRows[] = {{"Hog", 12, 650, true}, {"Saturation", 330, 330, false}};

class OverloadBurst : public testing::TestWithParam<LoadRow>
{
};

// More requests arrive at once than two engines and their queues can hold, mostly from one workspace or equally from
// both. Each caller must get a complete answer or, soon, a refusal that states that the request did not run and when to
// retry; refused requests must not have reached an engine. If one workspace floods the entry, all requests of the other
// one must be served.
TEST_P(OverloadBurst, CallersAreServedOrRefusedWithRetryAfter)
{
    constexpr int tokens = 50;
    const TestSite site({.engines = 2, .engineFlags = {"--step-ms", "20"}});
    std::vector<HttpCall> calls;
    for (std::size_t number = 0; number < GetParam().buyers; ++number) {
        calls.push_back(makeChatCall(site, "buyers", "offer " + std::to_string(number), tokens));
    }
    for (std::size_t number = 0; number < GetParam().mills; ++number) {
        calls.push_back(makeChatCall(site, "mills", "load " + std::to_string(number), tokens));
    }
    const auto answers = callAll(calls);
    std::size_t served = 0;
    std::size_t servedMills = 0;
    for (std::size_t number = 0; number < answers.size(); ++number) {
        const auto &answer = answers[number];
        if (answer.status == 200) {
            EXPECT_TRUE(answer.isComplete);
            ++served;
            servedMills += number >= GetParam().buyers ? 1 : 0;
            continue;
        }
        EXPECT_FALSE(headerValue(answer.headers, "Retry-After").empty()) << answer.status << answer.body;
        EXPECT_EQ(nlohmann::json::parse(answer.body).value("ran", ""), "no") << answer.body;
    }
    EXPECT_LT(served, answers.size());
    EXPECT_GT(servedMills, 0U);
    EXPECT_GT(served, servedMills);
    EXPECT_EQ(requestCount(site, 0) + requestCount(site, 1), served);
    if (GetParam().areMillsServedInFull) {
        EXPECT_EQ(servedMills, GetParam().mills);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, OverloadBurst, testing::ValuesIn(LoadRows),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
