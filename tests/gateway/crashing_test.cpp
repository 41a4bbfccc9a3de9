#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Acts = std::vector<TargetAct>;
using Kind = TargetAct::Kind;

constexpr auto CrashingBody = "crashes";
constexpr auto BrokenBody = "breaks";
/** Deaths of targets under one request after which it reaches no target any more. */
constexpr std::ptrdiff_t MostCrashes = 3;
/** What one gateway has seen is known to the others within this. */
constexpr auto TimeToSpread = 500ms;

/** A target that ends when it begins to run one request, breaks off another, and answers all others. */
Acts fragile(const std::string &request, int)
{
    if (request.ends_with(CrashingBody)) {
        return {{.kind = Kind::Crash}};
    }
    if (request.ends_with(BrokenBody)) {
        return {{.kind = Kind::Reset}};
    }
    return {{.bytes = answerTo(request, "id: 1\ndata: good\n\n")}};
}

/** A group of targets, each of its own port. */
class FragileTargets
{
public:
    explicit FragileTargets(std::size_t count, const ScriptedTarget::Script &script = fragile)
    {
        while (m_targets.size() < count) {
            m_targets.push_back(std::make_unique<ScriptedTarget>(script));
        }
    }

    std::vector<const ScriptedTarget *> all() const
    {
        std::vector<const ScriptedTarget *> all;
        std::transform(m_targets.begin(), m_targets.end(), std::back_inserter(all),
                       [](const auto &target) { return target.get(); });
        return all;
    }

    std::ptrdiff_t crashed() const
    {
        return std::count_if(m_targets.begin(), m_targets.end(),
                             [](const auto &target) { return target->hasCrashed(); });
    }

    std::size_t arrivals() const
    {
        return std::accumulate(m_targets.begin(), m_targets.end(), std::size_t{0},
                               [](std::size_t sum, const auto &target) { return sum + target->requests().size(); });
    }

private:
    std::vector<std::unique_ptr<ScriptedTarget>> m_targets;
};

/** Sends a request and waits for its answer. @returns the status */
int call(const GatewaySite &site, const std::string &path, const std::string &id, const std::string &body)
{
    RawCaller caller(site.callers());
    caller.send(requestText("POST", path, id, body));
    return caller.receive().status;
}

struct CrashRow
{
    const char *name;
    const char *path;
    std::size_t gateways;
};

const CrashRow CrashRows[] = {
    {"StreamAtOneGateway", "/stream/1", 1},
    {"StreamAtTwoGateways", "/stream/1", 2},
    {"LookUpAtTwoGateways", "/look/1", 2},
    {"BookingAtTwoGateways", "/book/1", 2},
};

std::string nameOf(const testing::TestParamInfo<CrashRow> &row)
{
    return row.param.name;
}

class CrashingRequests : public testing::TestWithParam<CrashRow>
{
};

// Guards against one request that ends every target that runs it and comes again, with another id, at any gateway.
TEST_P(CrashingRequests, ReachNoTargetAfterThreeHaveEnded)
{
    const auto &row = GetParam();
    const FragileTargets targets(12);
    const auto reports = std::make_shared<SharedRecords>();
    std::vector<std::unique_ptr<GatewaySite>> sites;
    while (sites.size() < row.gateways) {
        sites.push_back(std::make_unique<GatewaySite>(targets.all(), GatewaySite::Options{.reports = reports}));
    }
    constexpr int times = 8;
    for (int time = 0; time < times; ++time) {
        call(*sites[time % sites.size()], row.path, "r" + std::to_string(time), CrashingBody);
        std::this_thread::sleep_for(TimeToSpread);
    }
    EXPECT_LE(targets.crashed(), MostCrashes);
    EXPECT_EQ(call(*sites.front(), row.path, "other", "harmless"), 200);
}

INSTANTIATE_TEST_SUITE_P(All, CrashingRequests, testing::ValuesIn(CrashRows), nameOf);

// Guards against a gateway that starts anew and sends out again what the others have found to end targets.
TEST(LaterGateways, SendNothingThatIsKnownToEndTargets)
{
    const FragileTargets targets(12);
    const auto reports = std::make_shared<SharedRecords>();
    {
        GatewaySite site(targets.all(), {.reports = reports});
        for (int time = 0; time < 3; ++time) {
            call(site, "/stream/1", "r" + std::to_string(time), CrashingBody);
        }
    }
    const auto before = targets.arrivals();
    GatewaySite later(targets.all(), {.reports = reports});
    std::this_thread::sleep_for(TimeToSpread);
    EXPECT_EQ(call(later, "/stream/1", "again", CrashingBody), 503);
    EXPECT_EQ(targets.arrivals(), before);
}

// Guards against a copy that waits in a target's queue, and ends that target too once its turn comes.
TEST(WaitingCopies, AreEndedOnceTheyAreBlocked)
{
    const auto script = [](const std::string &request, int number) {
        return headerIn(request, "X-Heatherridge-Request-Id") == "waits" ? Acts{{.kind = Kind::AwaitClose}}
                                                                         : fragile(request, number);
    };
    FragileTargets targets(8, script);
    GatewaySite site(targets.all());
    RawCaller waiting(site.callers());
    waiting.send(requestText("POST", "/book/1", "waits", CrashingBody));
    while (targets.arrivals() == 0) {
        std::this_thread::sleep_for(5ms);
    }
    for (int time = 0; time < 3; ++time) {
        call(site, "/book/1", "r" + std::to_string(time), CrashingBody);
    }
    EXPECT_EQ(waiting.receive().status, 502);
    EXPECT_LE(targets.crashed(), MostCrashes);
}

// Guards against refusing a request whose connections broke while the targets lived on.
TEST(BrokenRequests, AreStillSentToTargetsThatLive)
{
    const FragileTargets targets(3);
    GatewaySite site(targets.all());
    constexpr int times = 6;
    for (int time = 0; time < times; ++time) {
        call(site, "/book/1", "r" + std::to_string(time), BrokenBody);
    }
    EXPECT_EQ(targets.arrivals(), std::size_t{times});
    EXPECT_EQ(targets.crashed(), 0);
}

} // namespace
