#include "support/testsite.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <thread>

using namespace Heatherridge;

namespace
{

const std::string ChatBody = R"({"model":"chip-llm","messages":[{"role":"user","content":"hi"}],"max_tokens":3})";
const HttpHeader MillsHeader{.name = "X-Workspace", .value = "mills"};

struct BadInputRow
{
    const char *name;
    const char *method;
    const char *target;
    std::vector<HttpHeader> headers;
    std::string body;
    int status;
    const char *kind;
};

const BadInputRow Rows[] = {
    {"BrokenJson", "POST", "/v1/chat/completions", {MillsHeader}, "{\"model\":", 400, "bad-request"},
    {"JsonOfAnotherShape", "POST", "/v1/chat/completions", {MillsHeader}, "[1,2]", 400, "bad-request"},
    {"MessagesAreNoList",
     "POST",
     "/v1/chat/completions",
     {MillsHeader},
     R"({"model":"chip-llm","messages":7})",
     400,
     "bad-request"},
    {"DeeplyNestedJson", "POST", "/v1/chat/completions", {MillsHeader}, std::string(100'000, '['), 400, "bad-request"},
    {"OversizedBody",
     "POST",
     "/v1/chat/completions",
     {MillsHeader},
     std::string((1UL << 20U) + 1, ' '),
     413,
     "body-too-large"},
    {"OversizedHeader",
     "POST",
     "/v1/chat/completions",
     {MillsHeader, {.name = "X-Note", .value = std::string(10'000, 'n')}},
     ChatBody,
     431,
     "header-too-large"},
    {"NoWorkspace", "POST", "/v1/chat/completions", {}, ChatBody, 403, "unknown-workspace"},
    {"UnknownWorkspace",
     "POST",
     "/v1/chat/completions",
     {{.name = "X-Workspace", .value = "nobody"}},
     ChatBody,
     403,
     "unknown-workspace"},
    {"WorkspaceWithAKeyByItsName",
     "POST",
     "/v1/chat/completions",
     {{.name = "X-Workspace", .value = "keyed"}},
     ChatBody,
     403,
     "unknown-workspace"},
    {"UnknownBearerKey",
     "POST",
     "/v1/chat/completions",
     {{.name = "Authorization", .value = "Bearer guess"}},
     ChatBody,
     403,
     "unknown-workspace"},
    {"UnknownModel",
     "POST",
     "/v1/chat/completions",
     {MillsHeader},
     R"({"model":"x","messages":[]})",
     404,
     "unknown-model"},
    {"UnknownService", "GET", "/services/elsewhere/contracts/1", {MillsHeader}, "", 404, "unknown-service"},
    {"EngineIsNoPlainService", "GET", "/services/chip/load", {MillsHeader}, "", 404, "unknown-service"},
    {"UnknownPath", "GET", "/nowhere", {MillsHeader}, "", 404, "not-found"},
    {"ChatByGet", "GET", "/v1/chat/completions", {MillsHeader}, "", 405, "method-not-allowed"},
    {"NegativeDeadline",
     "POST",
     "/v1/chat/completions",
     {MillsHeader, {.name = "X-Deadline-Ms", .value = "-5"}},
     ChatBody,
     400,
     "bad-deadline"},
    {"DeadlineThatIsNoNumber",
     "POST",
     "/v1/chat/completions",
     {MillsHeader, {.name = "X-Deadline-Ms", .value = "soon"}},
     ChatBody,
     400,
     "bad-deadline"},
    {"PriorityOutOfRange",
     "POST",
     "/v1/chat/completions",
     {MillsHeader, {.name = "X-Priority", .value = "11"}},
     ChatBody,
     400,
     "bad-request"},
    {"OverlongKey",
     "POST",
     "/services/yard-app/bookings",
     {MillsHeader, {.name = "Idempotency-Key", .value = std::string(500, 'k')}},
     "{}",
     400,
     "bad-idempotency-key"},
};

/** All rows share one site: the effects of one row must not affect the next. */
class BadInput : public testing::TestWithParam<BadInputRow>
{
protected:
    static void SetUpTestSuite() // NOLINT(readability-identifier-naming): GoogleTest's name
    {
        s_site = std::make_unique<TestSite>(TestSite::Options{.engines = 1, .plainServices = 1});
    }

    static void TearDownTestSuite() // NOLINT(readability-identifier-naming): GoogleTest's name
    {
        s_site.reset();
    }

    static std::unique_ptr<TestSite> s_site; // NOLINT(readability-identifier-naming): shared by the suite
};

std::unique_ptr<TestSite> BadInput::s_site;

/** Returns the entry's counter of refusals of @p kind, or -1 if it does not exist. */
int errorCount(const Endpoint &entry, const std::string &kind)
{
    const auto metrics = call(entry, "GET", "/metrics").body;
    const auto label = "heatherridge_errors_total{kind=\"" + kind + "\"} ";
    const auto position = metrics.find(label);
    return position == std::string::npos ? -1 : std::stoi(metrics.substr(position + label.size()));
}

TEST_P(BadInput, IsRefusedWithItsErrorKindAndCounted)
{
    const auto &row = GetParam();
    const auto &entry = s_site->entry(0);
    const auto before = errorCount(entry, row.kind);
    const auto answer = call(entry, row.method, row.target, row.body, row.headers);
    EXPECT_EQ(answer.status, row.status) << answer.body;
    EXPECT_EQ(headerValue(answer.headers, "Content-Type"), "application/problem+json");
    EXPECT_FALSE(headerValue(answer.headers, "X-Request-Id").empty());
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    ASSERT_TRUE(problem.is_object()) << answer.body;
    EXPECT_EQ(problem.value("kind", ""), row.kind);
    EXPECT_EQ(problem.value("ran", ""), "no");
    EXPECT_EQ(errorCount(entry, row.kind), before + 1);
    EXPECT_EQ(call(entry, "POST", "/v1/chat/completions", ChatBody, {MillsHeader}).status, 200);
    EXPECT_EQ(call(s_site->plain(0), "GET", "/executions").body, "{}");
}

INSTANTIATE_TEST_SUITE_P(Table, BadInput, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

// A caller's connection is lost in the middle of a long answer. The engine would continue for a minute and occupy a
// slot of its batch for nobody; the entry must cancel the request, and another caller's answer must not be affected.
TEST(DisconnectingCaller, CancelsItsRequestAtTheEngine)
{
    const TestSite site({.engines = 1, .engineFlags = {"--step-ms", "2"}});
    HttpCall disconnecting{
        .endpoint = site.entry(0),
        .request = {.method = "POST",
                    .path = "/v1/chat/completions",
                    .headers = {MillsHeader},
                    .body = R"({"model":"chip-llm","messages":[],"max_tokens":50000,"stream":true})"},
        .disconnectAfterBytes = 2'000};
    auto connected = disconnecting;
    connected.disconnectAfterBytes = 0;
    connected.request.body = R"({"model":"chip-llm","messages":[],"max_tokens":100,"stream":true})";
    const auto answers = callAll({disconnecting, connected});
    EXPECT_FALSE(answers[0].isComplete);
    EXPECT_TRUE(answers[1].isComplete);
    EXPECT_NE(answers[1].body.find("[DONE]"), std::string::npos);
    nlohmann::json load;
    do { // ctest's time limit fails the test if the engine never stops
        std::this_thread::yield();
        load = nlohmann::json::parse(call(site.engine(0), "GET", "/load").body);
    } while (load.value("running", -1) != 0);
    EXPECT_EQ(errorCount(site.entry(0), "caller-gone"), 1);
}

// A caller opens a connection, sends half a request and then nothing more. A few hundred such connections would exhaust
// the entry if they stayed open; it must close them after the configured send timeout and serve other callers in the
// meantime.
TEST(SlowSender, IsDisconnectedWhileOthersAreServed)
{
    const TestSite site({.engines = 1, .entryFlags = {"--send-timeout", "300"}});
    const auto answer =
        sendRaw(site.entry(0), "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{",
                std::chrono::milliseconds(60'000));
    EXPECT_EQ(answer.find("200"), std::string::npos) << answer;
    EXPECT_EQ(call(site.entry(0), "POST", "/v1/chat/completions", ChatBody, {MillsHeader}).status, 200);
}

} // namespace
