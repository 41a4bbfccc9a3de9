#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <mutex>
#include <numeric>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using Actions = std::vector<TargetAction>;

/** What the users require for a target that names a limit. */
constexpr auto LimitWindow = 4s;
constexpr auto LimitSettlingTime = 3s;
constexpr double LimitTolerance = 1.5;
constexpr double LimitSlack = 5;

/** A target that names a limit in its answers and records when requests arrive. */
class LimitedTarget
{
public:
    explicit LimitedTarget(double limit)
        : m_limit(limit)
        , m_target([this](const std::string &request, int) { return answer(request); })
    {
    }

    const ScriptedTarget &target() const
    {
        return m_target;
    }

    /** Returns the largest number of requests in any LimitWindow that begins at least LimitSettlingTime after the first
     * answer. */
    std::ptrdiff_t maxRequestsInWindow() const
    {
        const std::lock_guard lock(m_mutex);
        const auto first =
            std::lower_bound(m_requestTimes.begin(), m_requestTimes.end(), m_requestTimes.front() + LimitSettlingTime);
        std::ptrdiff_t maxRequests = 0;
        for (auto begin = first; begin != m_requestTimes.end(); ++begin) {
            maxRequests =
                std::max(maxRequests, std::lower_bound(begin, m_requestTimes.end(), *begin + LimitWindow) - begin);
        }
        return maxRequests;
    }

private:
    Actions answer(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        m_requestTimes.push_back(std::chrono::steady_clock::now());
        return {{.bytes = signedResponse(request, "good", 200, "Server-Limit: " + std::to_string(m_limit) + "\r\n")}};
    }

    double m_limit;
    mutable std::mutex m_mutex;
    std::vector<SteadyTime> m_requestTimes;
    ScriptedTarget m_target;
};

// Guards against an overloaded target that names its limit but receives as many requests as before, because each
// gateway applies the limit on its own.
TEST(TargetLimits, HoldAcrossAllGateways)
{
    constexpr double limit = 1;
    constexpr int gateways = 4;
    const LimitedTarget limited(limit);
    const ScriptedTarget other(
        [](const auto &request, int) { return Actions{{.bytes = signedResponse(request, "good")}}; });
    std::vector<std::unique_ptr<GatewayFixture>> fixtures;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        const GatewayFixture::Options options{.partitions = {gateway}, .logPartitions = gateways};
        fixtures.push_back(std::make_unique<GatewayFixture>(std::vector{&limited.target(), &other}, options));
        callers.push_back(std::make_unique<RawCaller>(fixtures.back()->callerEndpoint()));
    }
    constexpr int rounds = 90;
    int served = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const auto &caller : callers) {
            caller->send(requestText("GET", "/look/1", "r" + std::to_string(round)));
        }
        served += std::accumulate(callers.begin(), callers.end(), 0, [](int sum, const auto &caller) {
            return sum + (caller->receive().status == 200 ? 1 : 0);
        });
        std::this_thread::sleep_for(100ms);
    }
    EXPECT_LE(limited.maxRequestsInWindow(), LimitTolerance * limit * LimitWindow / 1s + LimitSlack);
    EXPECT_EQ(served, rounds * gateways) << "the other target serves the rest";
}

} // namespace
