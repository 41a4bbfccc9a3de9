#include "support/testsite.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <thread>

using namespace Heatherridge;

namespace
{

const std::string Chat = R"({"model":"chip-llm","messages":[{"role":"user","content":"hi"}],"max_tokens":3})";
const HttpHeader Mills{.name = "X-Workspace", .value = "mills"};

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
    {"BrokenJson", "POST", "/v1/chat/completions", {Mills}, "{\"model\":", 400, "bad-request"},
    {"JsonOfAnotherShape", "POST", "/v1/chat/completions", {Mills}, "[1,2]", 400, "bad-request"},
    {"MessagesAreNoList",
     "POST",
     "/v1/chat/completions",
     {Mills},
     R"({"model":"chip-llm","messages":7})",
     400,
     "bad-request"},
    {"DeeplyNestedJson", "POST", "/v1/chat/completions", {Mills}, std::string(100'000, '['), 400, "bad-request"},
    {"OversizedBody",
     "POST",
     "/v1/chat/completions",
     {Mills},
     std::string((1UL << 20U) + 1, ' '),
     413,
     "body-too-large"},
    {"OversizedHeader",
     "POST",
     "/v1/chat/completions",
     {Mills, {.name = "X-Note", .value = std::string(10'000, 'n')}},
     Chat,
     431,
     "header-too-large"},
    {"NoWorkspace", "POST", "/v1/chat/completions", {}, Chat, 403, "unknown-workspace"},
    {"UnknownWorkspace",
     "POST",
     "/v1/chat/completions",
     {{.name = "X-Workspace", .value = "nobody"}},
     Chat,
     403,
     "unknown-workspace"},
    {"WorkspaceWithAKeyByItsName",
     "POST",
     "/v1/chat/completions",
     {{.name = "X-Workspace", .value = "keyed"}},
     Chat,
     403,
     "unknown-workspace"},
    {"UnknownBearerKey",
     "POST",
     "/v1/chat/completions",
     {{.name = "Authorization", .value = "Bearer guess"}},
     Chat,
     403,
     "unknown-workspace"},
    {"UnknownModel", "POST", "/v1/chat/completions", {Mills}, R"({"model":"x","messages":[]})", 404, "unknown-model"},
    {"UnknownService", "GET", "/services/elsewhere/contracts/1", {Mills}, "", 404, "unknown-service"},
    {"EngineIsNoPlainService", "GET", "/services/chip/load", {Mills}, "", 404, "unknown-service"},
    {"UnknownPath", "GET", "/nowhere", {Mills}, "", 404, "not-found"},
    {"ChatByGet", "GET", "/v1/chat/completions", {Mills}, "", 405, "method-not-allowed"},
    {"NegativeDeadline",
     "POST",
     "/v1/chat/completions",
     {Mills, {.name = "X-Deadline-Ms", .value = "-5"}},
     Chat,
     400,
     "bad-deadline"},
    {"DeadlineThatIsNoNumber",
     "POST",
     "/v1/chat/completions",
     {Mills, {.name = "X-Deadline-Ms", .value = "soon"}},
     Chat,
     400,
     "bad-deadline"},
    {"PriorityOutOfRange",
     "POST",
     "/v1/chat/completions",
     {Mills, {.name = "X-Priority", .value = "11"}},
     Chat,
     400,
     "bad-request"},
    {"OverlongKey",
     "POST",
     "/services/yard-app/bookings",
     {Mills, {.name = "Idempotency-Key", .value = std::string(500, 'k')}},
     "{}",
     400,
     "bad-idempotency-key"},
};

/** One site for all rows: what one row leaves behind must not harm the next. */
class BadInput : public testing::TestWithParam<BadInputRow>
{
protected:
    static void SetUpTestSuite() // NOLINT(readability-identifier-naming): GoogleTest's name
    {
        s_site = std::make_unique<TestSite>(TestSite::Options{.engines = 1, .plains = 1});
    }

    static void TearDownTestSuite() // NOLINT(readability-identifier-naming): GoogleTest's name
    {
        s_site.reset();
    }

    static std::unique_ptr<TestSite> s_site; // NOLINT(readability-identifier-naming): shared by the suite
};

std::unique_ptr<TestSite> BadInput::s_site;

/** The counter of refusals of @p kind at the entry. */
int counted(const Endpoint &entry, const std::string &kind)
{
    const auto metrics = call(entry, "GET", "/metrics").body;
    const auto label = "heatherridge_errors_total{kind=\"" + kind + "\"} ";
    const auto place = metrics.find(label);
    return place == std::string::npos ? -1 : std::stoi(metrics.substr(place + label.size()));
}

TEST_P(BadInput, IsRefusedByItsOwnKindAndCountedAndHarmsNobody)
{
    const auto &row = GetParam();
    const auto &entry = s_site->entry(0);
    const auto before = counted(entry, row.kind);
    const auto answer = call(entry, row.method, row.target, row.body, row.headers);
    EXPECT_EQ(answer.status, row.status) << answer.body;
    EXPECT_EQ(headerValue(answer.headers, "Content-Type"), "application/problem+json");
    EXPECT_FALSE(headerValue(answer.headers, "X-Request-Id").empty());
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    ASSERT_TRUE(problem.is_object()) << answer.body;
    EXPECT_EQ(problem.value("kind", ""), row.kind);
    EXPECT_EQ(problem.value("ran", ""), "no");
    EXPECT_EQ(counted(entry, row.kind), before + 1);
    EXPECT_EQ(call(entry, "POST", "/v1/chat/completions", Chat, {Mills}).status, 200);
    EXPECT_EQ(call(s_site->plain(0), "GET", "/executions").body, "{}");
}

INSTANTIATE_TEST_SUITE_P(Table, BadInput, testing::ValuesIn(Rows),
                         [](const auto &row) { return std::string(row.param.name); });

// A buyer's phone loses its network in the middle of a long answer. The engine would go on for a minute and keep a
// place of its batch for nobody; the entry has to tell it to stop, and a neighbour's answer goes on untouched.
TEST(LeavingCaller, IsNoticedAndItsWorkEndsAtTheEngine)
{
    const TestSite site({.engines = 1, .engineFlags = {"--step-ms", "2"}});
    HttpCall leaving{.endpoint = site.entry(0),
                     .request = {.method = "POST",
                                 .path = "/v1/chat/completions",
                                 .headers = {Mills},
                                 .body = R"({"model":"chip-llm","messages":[],"max_tokens":50000,"stream":true})"},
                     .leaveAfterBytes = 2'000};
    auto staying = leaving;
    staying.leaveAfterBytes = 0;
    staying.request.body = R"({"model":"chip-llm","messages":[],"max_tokens":100,"stream":true})";
    const auto answers = callAll({leaving, staying});
    EXPECT_FALSE(answers[0].whole);
    EXPECT_TRUE(answers[1].whole);
    EXPECT_NE(answers[1].body.find("[DONE]"), std::string::npos);
    nlohmann::json load;
    do { // ctest's time limit fails the test if it never comes
        std::this_thread::yield();
        load = nlohmann::json::parse(call(site.engine(0), "GET", "/load").body);
    } while (load.value("running", -1) != 0);
    EXPECT_EQ(counted(site.entry(0), "caller-gone"), 1);
}

// A caller opens a connection, sends half a request and falls silent. Held open, a few hundred of them would use up
// the entry; it hangs up after its settings' time, and serves others meanwhile.
TEST(SlowSender, IsHungUpOnWhileOthersAreServed)
{
    const TestSite site({.engines = 1, .entryFlags = {"--send-timeout", "300"}});
    const auto answer =
        sendRaw(site.entry(0), "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{",
                std::chrono::milliseconds(60'000));
    EXPECT_EQ(answer.find("200"), std::string::npos) << answer;
    EXPECT_EQ(call(site.entry(0), "POST", "/v1/chat/completions", Chat, {Mills}).status, 200);
}

} // namespace
