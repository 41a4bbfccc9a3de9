#include "heatherridge_protocol/runrecordcodec.h"
#include "support/childprocess.h"
#include "support/platformlogstandin.h"

#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <optional>
#include <thread>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr const char *ConfigDocument = R"({"version": 7, "routes": [], "services": [],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})";

/** The gateway program beside a log that outlives its runs. */
class GatewayRunRecords : public testing::Test
{
protected:
    std::unique_ptr<ChildProcess> startGateway(const std::string &memory = "100000",
                                               const std::string &descriptors = "100000") const
    {
        return std::make_unique<ChildProcess>(
            "heatherridge-gateway",
            std::vector<std::string>{"--name", "g 1/é", "--zone", "a", "--listen", "127.0.0.1:0", "--ready-listen",
                                     "127.0.0.1:0", "--ready-path", "/readyz", "--log-service",
                                     toString(m_log.endpoint()), "--log-stream", "standard-output", "--memory-mb",
                                     memory, "--max-descriptors", descriptors});
    }

    std::optional<RunRecord> record() const
    {
        const auto decoded = decodeRunRecord(m_log.newest("keyed.heatherridge-runs", "g 1/é"));
        const auto *found = std::get_if<RunRecord>(&decoded);
        return found != nullptr ? std::optional(*found) : std::nullopt;
    }

    /** Waits for a record that @p isExpected holds for; ctest's time limit fails the test if there is none. */
    RunRecord await(const std::function<bool(const RunRecord &)> &isExpected) const
    {
        while (true) {
            if (const auto found = record(); found && isExpected(*found)) {
                return *found;
            }
            std::this_thread::sleep_for(10ms);
        }
    }

    const PlatformLogStandin m_log{{{"keyed.op", {{"config", ConfigDocument}}}, {"keyed.servers", {}}}};
};

/** Returns the lines of @p output that have @p text. */
std::vector<std::string> linesWith(const std::string &output, const std::string &text)
{
    std::vector<std::string> lines;
    for (std::size_t begin = 0; begin < output.size();) {
        const auto end = std::min(output.find('\n', begin), output.size());
        if (auto line = output.substr(begin, end - begin); line.find(text) != std::string::npos) {
            lines.push_back(std::move(line));
        }
        begin = end + 1;
    }
    return lines;
}

// Guards against a process that is killed and leaves no trace, and against an orderly end that is reported as one.
TEST_F(GatewayRunRecords, TellTheNextRunOfAKilledOne)
{
    auto killed = startGateway();
    const auto first = await([](const auto &) { return true; });
    EXPECT_EQ(first.state, RunState::Running);
    EXPECT_GT(first.use.peakMemory, 0U);
    EXPECT_EQ(first.use.memoryLimit, 100'000ULL << 20U);
    EXPECT_GT(first.use.descriptors, 0U);
    killed->kill();
    EXPECT_TRUE(linesWith(killed->output(), "event=previous-run-unfinished").empty());

    auto stopped = startGateway();
    const auto second = await([&](const auto &found) { return found.run != first.run; });
    EXPECT_EQ(second.state, RunState::Running);
    stopped->signal(SIGTERM);
    EXPECT_EQ(stopped->wait(), 0);
    const auto lines = linesWith(stopped->output(), "event=previous-run-unfinished");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines.front().find("run=" + std::to_string(toNumber(first.run)) + " "), std::string::npos)
        << lines.front();
    EXPECT_NE(lines.front().find(" state=running likely=unknown "), std::string::npos) << lines.front();
    const auto ended = await([](const auto &found) { return found.state == RunState::Ended; });
    EXPECT_EQ(ended.run, second.run);

    auto last = startGateway();
    await([&](const auto &found) { return found.run != second.run; });
    last->kill();
    EXPECT_TRUE(linesWith(last->output(), "event=previous-run-unfinished").empty());
}

struct KilledRow
{
    const char *name;
    const char *memory; ///< MiB of the host
    const char *descriptors; ///< of the host
    const char *likely;
};

const KilledRow KilledRows[] = {
    {"LittleMemory", "16", "100000", "memory"},
    {"FewDescriptors", "100000", "10", "descriptors"},
};

class KilledGateways : public GatewayRunRecords, public testing::WithParamInterface<KilledRow>
{
};

// Guards against a probable cause that does not follow from what the process really used.
TEST_P(KilledGateways, AreReportedWithWhatTheyCameCloseTo)
{
    auto killed = startGateway(GetParam().memory, GetParam().descriptors);
    const auto first = await([](const auto &) { return true; });
    killed->kill();
    auto next = startGateway();
    await([&](const auto &found) { return found.run != first.run; });
    next->signal(SIGTERM);
    EXPECT_EQ(next->wait(), 0);
    const auto lines = linesWith(next->output(), "event=previous-run-unfinished");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines.front().find(std::string(" likely=") + GetParam().likely + " "), std::string::npos)
        << lines.front();
}

INSTANTIATE_TEST_SUITE_P(All, KilledGateways, testing::ValuesIn(KilledRows),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
