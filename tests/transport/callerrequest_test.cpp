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

ConfigView view()
{
    ConfigView config;
    config.inventory =
        std::make_shared<Inventory>(std::get<Inventory>(Inventory::fromDocument(IniDocument::parse(InventoryText))));
    config.rules = std::make_shared<RuleSet>(std::get<RuleSet>(RuleSet::fromDocument(IniDocument::parse(RulesText))));
    return config;
}

HttpRequest chat(std::vector<HttpHeader> headers, std::string body = R"({"model":"chip","messages":[]})")
{
    return {.method = "POST", .path = "/v1/chat/completions", .headers = std::move(headers), .body = std::move(body)};
}

HttpRequest call(std::string method, std::string path)
{
    return {.method = std::move(method), .path = std::move(path), .headers = {{"X-Workspace", "mills"}}};
}

struct RefusalRow
{
    const char *story;
    HttpRequest request;
    ErrorKind kind;
};

const RefusalRow Refusals[] = {
    {"no workspace", chat({}), ErrorKind::UnknownWorkspace},
    {"a workspace that nobody configured", chat({{"X-Workspace", "nobody"}}), ErrorKind::UnknownWorkspace},
    {"a workspace with a key, named without it", chat({{"X-Workspace", "buyers"}}), ErrorKind::UnknownWorkspace},
    {"an empty bearer key", chat({{"Authorization", "Bearer "}}), ErrorKind::UnknownWorkspace},
    {"priority out of range", chat({{"X-Workspace", "mills"}, {"X-Priority", "11"}}), ErrorKind::BadRequest},
    {"negative deadline", chat({{"X-Workspace", "mills"}, {"X-Deadline-Ms", "-1"}}), ErrorKind::BadDeadline},
    {"deadline that is no number", chat({{"X-Workspace", "mills"}, {"X-Deadline-Ms", "soon"}}), ErrorKind::BadDeadline},
    {"broken JSON", chat({{"X-Workspace", "mills"}}, "{\"model\":"), ErrorKind::BadRequest},
    {"no messages", chat({{"X-Workspace", "mills"}}, R"({"model":"chip"})"), ErrorKind::BadRequest},
    {"unknown model", chat({{"X-Workspace", "mills"}}, R"({"model":"oak","messages":[]})"), ErrorKind::UnknownModel},
    {"too large a body", chat({{"X-Workspace", "mills"}}, std::string(2UL << 20U, 'x')), ErrorKind::BodyTooLarge},
    {"too large a header", chat({{"X-Workspace", "mills"}, {"X-A", std::string(9000, 'x')}}),
     ErrorKind::HeaderTooLarge},
    {"chat by another method",
     {.method = "GET", .path = "/v1/chat/completions", .headers = {{"X-Workspace", "mills"}}},
     ErrorKind::MethodNotAllowed},
    {"unknown service", call("GET", "/services/none/x"), ErrorKind::UnknownService},
    {"an engine is no plain service", call("GET", "/services/chip-llm/x"), ErrorKind::UnknownService},
    {"nothing at this path", call("GET", "/other"), ErrorKind::NotFound},
};

class RefusedRequests : public testing::TestWithParam<RefusalRow>
{
};

TEST_P(RefusedRequests, GetTheirOwnKindAndAreNotRun)
{
    const auto result = readCallerRequest(GetParam().request, RequestId("id"), view(), {});
    ASSERT_NE(errorIn(result), nullptr) << GetParam().story;
    EXPECT_EQ(errorIn(result)->kind, GetParam().kind) << GetParam().story;
    EXPECT_EQ(errorIn(result)->ranOrDefault(), ExecutionStatus::No) << GetParam().story;
}

INSTANTIATE_TEST_SUITE_P(Table, RefusedRequests, testing::ValuesIn(Refusals));

TEST(CallerRequest, CarriesWhatTheRulesSay)
{
    auto request = call("GET", "/services/yard-app/availability/7");
    request.headers.push_back({"X-Priority", "3"});
    const auto result = readCallerRequest(request, RequestId("id"), view(), {});
    const auto &read = std::get<CallerRequest>(result);
    EXPECT_EQ(read.submit.path, "/availability/7");
    EXPECT_EQ(read.submit.priority, 5);
    EXPECT_TRUE(read.submit.mayRepeat);
    EXPECT_EQ(read.timeout, std::chrono::milliseconds(1234));
    EXPECT_FALSE(std::get<CallerRequest>(
                     readCallerRequest(call("POST", "/services/yard-app/bookings"), RequestId("id"), view(), {}))
                     .submit.mayRepeat);
}

TEST(CallerRequest, ABearerKeyNamesItsWorkspaceAndGoesNoFurther)
{
    const auto result = readCallerRequest(chat({{"Authorization", "Bearer secret"}}), RequestId("id"), view(), {});
    const auto &read = std::get<CallerRequest>(result);
    EXPECT_EQ(read.submit.workspace, WorkspaceName("buyers"));
    for (const auto &header : read.submit.headers) {
        EXPECT_NE(header.value, "Bearer secret");
    }
}

RC_GTEST_PROP(CallerRequest, AnyInputIsReadOrRefusedAsNotRun,
              (const std::string &path, const std::string &name, const std::string &value, const std::string &body))
{
    for (const auto &route : {path, std::string("/v1/chat/completions"), "/services/" + path}) {
        const auto result = readCallerRequest(
            {.method = "POST", .path = route, .headers = {{"X-Workspace", "mills"}, {name, value}}, .body = body},
            RequestId("id"), view(), {});
        RC_ASSERT(errorIn(result) == nullptr || errorIn(result)->ranOrDefault() == ExecutionStatus::No);
    }
}

RC_GTEST_PROP(IniDocument, AnyTextIsReadWithoutHarm, (const std::string &text))
{
    const auto document = IniDocument::parse("[a]\n" + text);
    RC_ASSERT(!document.sections().empty());
    Inventory::fromDocument(document);
    RuleSet::fromDocument(document);
}

} // namespace
