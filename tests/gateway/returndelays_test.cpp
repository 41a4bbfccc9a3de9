#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr int EngineSlots = 8; ///< of a target of the fixture
constexpr int RefusedCallers = 6;

struct DelayRow
{
    const char *name;
    int otherPriority; ///< of a second route for streams of the service; that of the first is 0
    double minSeconds;
    double maxSeconds;
    bool areEqual;
};

const DelayRow DelayRows[] = {
    {"WithoutRanks", 0, 0.5, 0.5, true},
    {"WithRanks", 1, 0.5, 0.75, false},
};

class FullTargets : public testing::TestWithParam<DelayRow>
{
};

RoutingConfig configWithRoutes(int otherPriority)
{
    auto config = GatewayFixture::defaultConfig();
    auto &route = config.routes.back();
    route.timeout = 10s;
    auto other = route;
    other.name = "other";
    other.pathPrefix = "/other/";
    other.priority = otherPriority;
    config.routes.push_back(other);
    config.services.front().engine = EngineProfile{.stepTime = 10ms, .layerSets = 1, .experts = 1, .expertSlots = 1};
    return config;
}

/** Returns the seconds in the Retry-After header of @p answer, or 0. */
double retryAfterSeconds(const RawCaller::Answer &answer)
{
    constexpr std::string_view name = "Retry-After: ";
    const auto position = answer.head.find(name);
    return position == std::string::npos ? 0 : std::stod(answer.head.substr(position + name.size()));
}

// Guards against callers that are refused together and told the same delay, and against other delays than before in a
// deployment without ranks.
TEST_P(FullTargets, TellCallersWhenToReturn)
{
    const auto &row = GetParam();
    const ScriptedTarget target(
        [](const std::string &, int) { return std::vector<TargetAction>{{.kind = TargetAction::Kind::AwaitClose}}; });
    GatewayFixture::Options options;
    options.config = configWithRoutes(row.otherPriority);
    options.status = RankStatus{.group = GroupName("g"), .size = 1, .isOpen = true, .running = EngineSlots};
    const GatewayFixture gateway({&target}, options);
    std::vector<std::unique_ptr<RawCaller>> callers;
    std::this_thread::sleep_for(200ms); // until the engine has reported
    for (int caller = 0; caller < RefusedCallers; ++caller) {
        callers.push_back(std::make_unique<RawCaller>(gateway.callerEndpoint()));
        callers.back()->send(requestText("GET", "/stream/x", "r" + std::to_string(caller)));
    }
    std::vector<double> delays;
    delays.reserve(RefusedCallers);
    for (const auto &caller : callers) {
        const auto answer = caller->receive();
        EXPECT_EQ(answer.status, 503);
        delays.push_back(retryAfterSeconds(answer));
    }
    const auto [least, most] = std::minmax_element(delays.begin(), delays.end());
    EXPECT_GE(*least, row.minSeconds);
    EXPECT_LE(*most, row.maxSeconds);
    EXPECT_EQ(*least == *most, row.areEqual);
}

INSTANTIATE_TEST_SUITE_P(All, FullTargets, testing::ValuesIn(DelayRows),
                         [](const auto &row) { return row.param.name; });

} // namespace
