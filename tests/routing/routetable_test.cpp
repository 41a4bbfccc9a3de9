#include "heatherridge_state/routing/routetable.h"

#include <gtest/gtest.h>

#include <map>

using namespace Heatherridge;

namespace
{

RoutingConfig sampleConfig()
{
    const auto route = [](const char *name, const char *host, const char *prefix) {
        return RouteRule{.name = name, .host = host, .pathPrefix = prefix, .priority = 3};
    };
    RoutingConfig config{.version = 7};
    config.routes = {route("root", "a.example", "/"), route("deep", "a.example", "/x/y/"),
                     route("shallow", "a.example", "/x/"), route("other", "b.example", "/x/")};
    config.routes.push_back({.name = "open", .host = "b.example", .pathPrefix = "/open/", .isPublic = true});
    config.workspaces = {{.name = WorkspaceName("buyers"), .apiKeys = {"k1", "k2"}},
                         {.name = WorkspaceName("agents"), .apiKeys = {"k3"}, .priority = 0}};
    return config;
}

struct MatchRow
{
    const char *description;
    const char *host;
    const char *path;
    const char *key;
    const char *route; ///< nullptr if the request is refused
    ErrorKind refusal = ErrorKind::Internal;
    const char *workspace = "";
    int priority = 3;
};

const MatchRow MatchRows[] = {
    {"the longest prefix wins", "a.example", "/x/y/z", "k1", "deep", {}, "buyers"},
    {"a prefix matches up to a slash", "a.example", "/x/yz", "k1", "shallow", {}, "buyers"},
    {"the path of a prefix without its slash matches the shorter prefix",
     "a.example",
     "/x/y",
     "k1",
     "shallow",
     {},
     "buyers"},
    {"the root prefix matches all other paths", "a.example", "/q", "k2", "root", {}, "buyers"},
    {"case and port of the host are ignored", "A.Example:80", "/x/y/z", "k1", "deep", {}, "buyers"},
    {"the priority of the workspace overrides that of the route", "a.example", "/x/", "k3", "shallow", {}, "agents", 0},
    {"no route for this path of the host", "b.example", "/q", "k1", nullptr, ErrorKind::NotFound},
    {"an unknown host", "c.example", "/x/", "k1", nullptr, ErrorKind::NotFound},
    {"an unknown key", "a.example", "/x/", "zz", nullptr, ErrorKind::UnknownApiKey},
    {"no key", "a.example", "/x/", "", nullptr, ErrorKind::UnknownApiKey},
    {"a missing route is reported before a missing key", "c.example", "/x/", "", nullptr, ErrorKind::NotFound},
    {"a public route without a key", "b.example", "/open/1", "", "open", {}, "", 0},
    {"a public route with a key returns the owner of the key", "b.example", "/open/1", "k1", "open", {}, "buyers", 0},
};

class RouteMatches : public testing::TestWithParam<MatchRow>
{
};

TEST_P(RouteMatches, ReturnsRouteAndWorkspace)
{
    const auto &row = GetParam();
    const RouteTable table(sampleConfig());
    const auto match = table.match(row.host, row.path, row.key);
    if (row.route == nullptr) {
        ASSERT_NE(errorIn(match), nullptr) << row.description;
        EXPECT_EQ(errorIn(match)->kind, row.refusal) << row.description;
        return;
    }
    ASSERT_EQ(errorIn(match), nullptr) << row.description;
    const auto &found = std::get<RouteMatch>(match);
    EXPECT_EQ(found.route->name, row.route) << row.description;
    EXPECT_EQ(found.workspace.text(), row.workspace) << row.description;
    EXPECT_EQ(found.priority, row.priority) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, RouteMatches, testing::ValuesIn(MatchRows));

TEST(SelectWeightedService, MatchesTheWeights)
{
    RouteRule route;
    route.services = {{.service = ServiceName("a"), .weight = 90},
                      {.service = ServiceName("b"), .weight = 10},
                      {.service = ServiceName("c"), .weight = 0}};
    SeededRandom random(1);
    std::map<std::string, int> counts;
    constexpr int drawCount = 10'000;
    for (int i = 0; i < drawCount; ++i) {
        ++counts[selectWeightedService(route, random).text()];
    }
    EXPECT_NEAR(counts["a"], drawCount * 0.9, drawCount * 0.02);
    EXPECT_EQ(counts["c"], 0);
    EXPECT_TRUE(selectWeightedService(RouteRule{}, random).isEmpty());
}

} // namespace
