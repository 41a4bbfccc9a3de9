#include "heatherridge_transport/entry/callerrequest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

const char *const InventoryText = R"([zone.a]
region = r
[target.chip-1]
host = h1
zone = a
service = chip-llm
models = chip
gate = 127.0.0.1:7100
backend = 127.0.0.1:9000
[target.yard-1]
host = h2
zone = a
service = yard-app
kind = plain
gate = 127.0.0.1:7101
backend = 127.0.0.1:9001
)";

const char *const RulesText = R"([workspace.mills]
priority = 2
[workspace.buyers]
key = secret
[service.yard-app]
repeatable = GET /availability/*
timeout-ms = 1234
)";

ConfigView makeConfigView()
{
    ConfigView config;
    config.inventory =
        std::make_shared<Inventory>(std::get<Inventory>(Inventory::fromDocument(IniDocument::parse(InventoryText))));
    config.rules = std::make_shared<RuleSet>(std::get<RuleSet>(RuleSet::fromDocument(IniDocument::parse(RulesText))));
    return config;
}

HttpRequest makeChatRequest(std::vector<HttpHeader> headers, std::string body = R"({"model":"chip","messages":[]})")
{
    return {.method = "POST", .path = "/v1/chat/completions", .headers = std::move(headers), .body = std::move(body)};
}

HttpRequest makeServiceRequest(std::string method, std::string path)
{
    return {.method = std::move(method), .path = std::move(path), .headers = {{"X-Workspace", "mills"}}};
}

/** Returns a body whose messages are nested so deeply that writing them recursively exhausts the stack. */
std::string nestedMessages()
{
    constexpr std::size_t depth = 400'000;
    return R"({"model":"chip","messages":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
}

struct RejectionCase
{
    const char *description;
    HttpRequest request;
    ErrorKind kind;
};

const RejectionCase RejectionCases[] = {
    {"no workspace", makeChatRequest({}), ErrorKind::UnknownWorkspace},
    {"an unconfigured workspace", makeChatRequest({{"X-Workspace", "nobody"}}), ErrorKind::UnknownWorkspace},
    {"a workspace with a key, named without the key", makeChatRequest({{"X-Workspace", "buyers"}}),
     ErrorKind::UnknownWorkspace},
    {"an empty bearer key", makeChatRequest({{"Authorization", "Bearer "}}), ErrorKind::UnknownWorkspace},
    {"priority out of range", makeChatRequest({{"X-Workspace", "mills"}, {"X-Priority", "11"}}), ErrorKind::BadRequest},
    {"negative deadline", makeChatRequest({{"X-Workspace", "mills"}, {"X-Deadline-Ms", "-1"}}), ErrorKind::BadDeadline},
    {"deadline that is not a number", makeChatRequest({{"X-Workspace", "mills"}, {"X-Deadline-Ms", "soon"}}),
     ErrorKind::BadDeadline},
    {"broken JSON", makeChatRequest({{"X-Workspace", "mills"}}, "{\"model\":"), ErrorKind::BadRequest},
    {"no messages", makeChatRequest({{"X-Workspace", "mills"}}, R"({"model":"chip"})"), ErrorKind::BadRequest},
    {"messages nested deeply", makeChatRequest({{"X-Workspace", "mills"}}, nestedMessages()), ErrorKind::BadRequest},
    {"unknown model", makeChatRequest({{"X-Workspace", "mills"}}, R"({"model":"oak","messages":[]})"),
     ErrorKind::UnknownModel},
    {"body too large", makeChatRequest({{"X-Workspace", "mills"}}, std::string(2UL << 20U, 'x')),
     ErrorKind::BodyTooLarge},
    {"header too large", makeChatRequest({{"X-Workspace", "mills"}, {"X-A", std::string(9000, 'x')}}),
     ErrorKind::HeaderTooLarge},
    {"a space after the name of a header",
     makeChatRequest({{"X-Workspace", "mills"}, {"Transfer-Encoding ", "chunked"}}), ErrorKind::BadRequest},
    {"chat with the wrong method",
     {.method = "GET", .path = "/v1/chat/completions", .headers = {{"X-Workspace", "mills"}}},
     ErrorKind::MethodNotAllowed},
    {"unknown service", makeServiceRequest("GET", "/services/none/x"), ErrorKind::UnknownService},
    {"an engine requested as a plain service", makeServiceRequest("GET", "/services/chip-llm/x"),
     ErrorKind::UnknownService},
    {"unknown path", makeServiceRequest("GET", "/other"), ErrorKind::NotFound},
};

class RejectedRequests : public testing::TestWithParam<RejectionCase>
{
};

TEST_P(RejectedRequests, HaveExpectedErrorKindAndAreNotExecuted)
{
    const auto result = readCallerRequest(GetParam().request, RequestId("id"), makeConfigView(), {});
    ASSERT_NE(errorIn(result), nullptr) << GetParam().description;
    EXPECT_EQ(errorIn(result)->kind, GetParam().kind) << GetParam().description;
    EXPECT_EQ(errorIn(result)->ranOrDefault(), ExecutionStatus::No) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(Table, RejectedRequests, testing::ValuesIn(RejectionCases));

TEST(CallerRequest, AppliesTheRules)
{
    auto request = makeServiceRequest("GET", "/services/yard-app/availability/7");
    request.headers.push_back({"X-Priority", "3"});
    const auto result = readCallerRequest(request, RequestId("id"), makeConfigView(), {});
    const auto &parsed = std::get<CallerRequest>(result);
    EXPECT_EQ(parsed.submit.path, "/availability/7");
    EXPECT_EQ(parsed.submit.priority, 5);
    EXPECT_TRUE(parsed.submit.mayRepeat);
    EXPECT_EQ(parsed.timeout, std::chrono::milliseconds(1234));
    EXPECT_FALSE(std::get<CallerRequest>(readCallerRequest(makeServiceRequest("POST", "/services/yard-app/bookings"),
                                                           RequestId("id"), makeConfigView(), {}))
                     .submit.mayRepeat);
}

TEST(CallerRequest, BearerKeySelectsWorkspaceAndIsNotForwarded)
{
    const auto result =
        readCallerRequest(makeChatRequest({{"Authorization", "Bearer secret"}}), RequestId("id"), makeConfigView(), {});
    const auto &parsed = std::get<CallerRequest>(result);
    EXPECT_EQ(parsed.submit.workspace, WorkspaceName("buyers"));
    for (const auto &header : parsed.submit.headers) {
        EXPECT_NE(header.value, "Bearer secret");
    }
}

RC_GTEST_PROP(CallerRequest, AnyInputIsParsedOrRejectedAsNotExecuted,
              (const std::string &path, const std::string &name, const std::string &value, const std::string &body))
{
    for (const auto &route : {path, std::string("/v1/chat/completions"), "/services/" + path}) {
        const auto result = readCallerRequest(
            {.method = "POST", .path = route, .headers = {{"X-Workspace", "mills"}, {name, value}}, .body = body},
            RequestId("id"), makeConfigView(), {});
        RC_ASSERT(errorIn(result) == nullptr || errorIn(result)->ranOrDefault() == ExecutionStatus::No);
    }
}

RC_GTEST_PROP(IniDocument, ParsesAnyText, (const std::string &text))
{
    const auto document = IniDocument::parse("[a]\n" + text);
    RC_ASSERT(!document.sections().empty());
    Inventory::fromDocument(document);
    RuleSet::fromDocument(document);
}

} // namespace
