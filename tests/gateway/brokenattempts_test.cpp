#include "heatherridge_transport/direct/brokenattempts.h"

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr auto ProbeTimeout = 2s;

/** A broken attempt at a target that does or does not listen, and the counter that it belongs to. */
struct BreakRow
{
    const char *name;
    bool isListening;
    bool hasBegun;
    const char *counter;
};

const BreakRow BreakRows[] = {
    {"DiedBeforeItsAnswer", false, false, R"(heatherridge_broken_attempts_total{target="gone",begun="no"} 1)"},
    {"DiedInItsAnswer", false, true, R"(heatherridge_broken_attempts_total{target="gone",begun="yes"} 1)"},
    {"LivesAndBrokeOffBefore", true, false, R"(heatherridge_broken_attempts_total{target="listening",begun="no"} 1)"},
    {"LivesAndBrokeOffWithin", true, true, R"(heatherridge_broken_attempts_total{target="listening",begun="yes"} 1)"},
};

class BrokenAttemptsTest : public testing::Test
{
protected:
    /** Inspects an attempt at @p target on the port of the acceptor. */
    ProbeResult inspect(const std::string &target, std::vector<PromptPartId> parts, bool hasBegun)
    {
        auto result = ProbeResult::Unknown;
        m_attempts.inspect({.target = TargetName(target), .promptParts = std::move(parts), .hasBegun = hasBegun},
                           {.id = TargetName(target), .address = {.address = "127.0.0.1", .port = m_port}},
                           [&](ProbeResult probed) { result = probed; });
        m_loop.restart();
        m_loop.run();
        return result;
    }

    bool hasMetric(const std::string &line) const
    {
        return m_metrics.exposition().find(line + "\n") != std::string::npos;
    }

    asio::io_context m_loop;
    asio::ip::tcp::acceptor m_acceptor{m_loop, {asio::ip::address_v4::loopback(), 0}};
    int m_port = m_acceptor.local_endpoint().port();
    Metrics m_metrics;
    TargetProbe m_probe{m_loop, ProbeTimeout, m_metrics};
    BrokenAttempts m_attempts{m_probe, m_metrics};
};

class BreaksByState : public BrokenAttemptsTest, public testing::WithParamInterface<BreakRow>
{
};

// Guards against metrics that do not tell a dead target from one that only broke off, before or within its answer.
TEST_P(BreaksByState, AreCountedByStateOfTheTargetAndOfTheAnswer)
{
    if (!GetParam().isListening) {
        m_acceptor.close();
    }
    const auto expected = GetParam().isListening ? ProbeResult::Listening : ProbeResult::Refused;
    EXPECT_EQ(inspect("t", {}, GetParam().hasBegun), expected);
    EXPECT_TRUE(hasMetric(GetParam().counter)) << m_metrics.exposition();
}

INSTANTIATE_TEST_SUITE_P(All, BreaksByState, testing::ValuesIn(BreakRows),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against deaths under requests with a common prompt part that look unrelated, and against two requests at one
// dead target that count as two deaths.
TEST_F(BrokenAttemptsTest, CountDeathsThatShareAPartForDifferentTargetsOnly)
{
    m_acceptor.close();
    constexpr auto metric = "heatherridge_deaths_sharing_prompt_part_total ";
    inspect("a", {{.value = 1}, {.value = 2}}, true);
    inspect("a", {{.value = 1}}, false);
    inspect("b", {{.value = 3}}, true);
    EXPECT_TRUE(hasMetric(std::string(metric) + "0")) << m_metrics.exposition();
    inspect("c", {{.value = 4}, {.value = 2}}, false);
    EXPECT_TRUE(hasMetric(std::string(metric) + "1")) << m_metrics.exposition();
}

} // namespace
