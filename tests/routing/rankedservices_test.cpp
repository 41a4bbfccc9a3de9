#include "heatherridge_state/routing/rankedservices.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

RouteRule streamRoute(const char *service, int priority, bool isPublic = false)
{
    return {.kind = RequestKind::EventStream,
            .priority = priority,
            .services = {{.service = ServiceName(service)}},
            .isPublic = isPublic};
}

struct RankedRow
{
    const char *story;
    std::vector<RouteRule> routes;
    std::vector<WorkspaceKeys> workspaces;
    std::set<ServiceName> ranked;
};

const WorkspaceKeys PlainWorkspace{.name = WorkspaceName("plain")};
const WorkspaceKeys HighWorkspace{.name = WorkspaceName("high"), .priority = 0};

// Guards against decisions by rank that come into force for deployments whose routes have no ranks.
const RankedRow RankedRows[] = {
    {"no routes", {}, {}, {}},
    {"one route", {streamRoute("s", 1)}, {}, {}},
    {"two routes of one priority", {streamRoute("s", 1), streamRoute("s", 1)}, {}, {}},
    {"two routes of different priority", {streamRoute("s", 1), streamRoute("s", 2)}, {}, {ServiceName("s")}},
    {"routes of different services", {streamRoute("s", 1), streamRoute("t", 2)}, {}, {}},
    {"a plain route does not count",
     {streamRoute("s", 1), {.priority = 2, .services = {{.service = ServiceName("s")}}}},
     {},
     {}},
    {"a service that a route gives no requests does not count",
     {streamRoute("s", 1),
      {.kind = RequestKind::EventStream, .priority = 2, .services = {{.service = ServiceName("s"), .weight = 0}}}},
     {},
     {}},
    {"a workspace overrides the priority", {streamRoute("s", 1)}, {PlainWorkspace, HighWorkspace}, {}},
    {"a workspace overrides it with the same one", {streamRoute("s", 0)}, {PlainWorkspace, HighWorkspace}, {}},
    {"all workspaces override it", {streamRoute("s", 1), streamRoute("s", 2)}, {HighWorkspace}, {ServiceName("s")}},
    {"callers without a key have the priority of the route", {streamRoute("s", 1, true)}, {HighWorkspace}, {}},
};

class RankedServices : public testing::TestWithParam<RankedRow>
{
};

TEST_P(RankedServices, AreThoseWhoseStreamsDifferInPriority)
{
    const auto &row = GetParam();
    EXPECT_EQ(rankedServices({.routes = row.routes, .workspaces = row.workspaces}), row.ranked) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, RankedServices, testing::ValuesIn(RankedRows));

} // namespace
