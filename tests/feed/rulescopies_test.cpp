#include "feed/rulescopylog.h"
#include "heatherridge_coordination/feed/rulescopies.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr int CopyCount = RulesCopyLog::CopyCount;

/** A process whose only persistent state is in the log. */
class Process
{
public:
    explicit Process(RulesCopyLog &log)
        : m_copies(log, {.count = CopyCount},
                   {.restored =
                        [this](const auto &changes) {
                            for (const auto &change : changes) {
                                restored.push_back(change.key);
                            }
                        },
                    .failed = [this](std::string_view, const Error &) { ++failures; }})
    {
    }

    void run(RulesCopies::Duty duty, std::chrono::milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += 20ms) {
            m_copies.tick(duty, m_now);
        }
    }

    void logRestored()
    {
        m_copies.logRestored();
    }

    void setRules(std::uint64_t version)
    {
        m_copies.setRules({.key = std::to_string(version), .value = "rules"}, version);
    }

    std::vector<std::string> restored{};
    int failures = 0;

private:
    RulesCopies m_copies;
    SteadyTime m_now{1h};
};

bool contains(const std::vector<std::string> &keys, const std::string &key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

struct OutageRow
{
    const char *name;
    std::array<bool, CopyCount> isUnavailableForWriter;
    std::array<bool, CopyCount> isUnavailableForReader;
    bool isRestored;
};

const OutageRow OutageRows[] = {
    {"everything available", {}, {}, true},
    {"one partition unavailable while the copies are written", {true, false, false}, {}, true},
    {"two partitions unavailable when the copies are read", {}, {true, true, false}, true},
    {"the only written copy is unavailable", {true, true, false}, {false, false, true}, false},
    {"the whole log unavailable", {}, {true, true, true}, false},
};

class RulesCopiesOutage : public testing::TestWithParam<OutageRow>
{
};

// Guards against processes that start without rules and reject every request while only the register of rules is
// unavailable.
TEST_P(RulesCopiesOutage, RestoresTheNewestRulesToAProcessWithoutRules)
{
    const auto &row = GetParam();
    RulesCopyLog log;
    log.isUnavailable = row.isUnavailableForWriter;
    Process writer(log);
    writer.setRules(4);
    writer.run({.writes = true}, 100ms);
    writer.setRules(7);
    writer.run({.writes = true}, 2s);
    log.isUnavailable = row.isUnavailableForReader;
    Process reader(log);
    reader.run({.reads = true}, 100ms);
    EXPECT_EQ(contains(reader.restored, "7"), row.isRestored) << row.name;
}

INSTANTIATE_TEST_SUITE_P(Table, RulesCopiesOutage, testing::ValuesIn(OutageRows));

// Guards against copies that grow with each version, and against writes of versions that are already stored.
TEST(RulesCopies, KeepOnlyTheNewestVersionAndAreWrittenOnce)
{
    RulesCopyLog log;
    Process writer(log);
    for (std::uint64_t version = 1; version <= 20; ++version) {
        writer.setRules(version);
        writer.run({.writes = true}, 500ms);
    }
    EXPECT_EQ(log.writes, 20 * CopyCount);
    EXPECT_EQ(log.reads, CopyCount);
    for (const auto &copy : log.records) {
        EXPECT_EQ(copy.size(), 1U);
        EXPECT_TRUE(copy.contains(20));
    }
}

// Guards against a process that was paused with an old version and removes the newest one from the copies.
TEST(RulesCopies, KeepANewerVersionWhenAnOldOneIsWrittenLate)
{
    RulesCopyLog log;
    Process paused(log);
    paused.setRules(5);
    paused.run({.writes = true}, 40ms);
    Process successor(log);
    successor.setRules(6);
    successor.run({.writes = true}, 500ms);
    paused.setRules(5);
    paused.run({.writes = true}, 500ms);
    for (const auto &copy : log.records) {
        EXPECT_TRUE(copy.contains(6));
    }
}

// Guards against every process continuously reading the copies.
TEST(RulesCopies, AreNotAccessedByProcessesThatHaveRules)
{
    RulesCopyLog log;
    Process process(log);
    process.setRules(3);
    process.run({}, 5s);
    EXPECT_EQ(log.reads + log.writes, 0);
}

TEST(RulesCopies, AreReadAgainAfterAFailure)
{
    RulesCopyLog log;
    log.isUnavailable = {true, true, true};
    Process reader(log);
    reader.run({.reads = true}, 1s);
    EXPECT_GE(reader.failures, CopyCount * 3);
    EXPECT_LE(reader.failures, CopyCount * 5);
}

// Guards against copies that stay at an old version because their writer assumes contents that the log has lost.
TEST(RulesCopies, AreRewrittenAfterALogRestore)
{
    RulesCopyLog log;
    Process writer(log);
    writer.setRules(6);
    writer.run({.writes = true}, 500ms);
    const auto olderRules = RegisterChange{.key = "5", .value = "rules"};
    log.records.fill({{5, olderRules}});
    writer.run({.writes = true}, 500ms);
    EXPECT_FALSE(log.records[0].contains(6)) << "before the writer is notified";
    writer.logRestored();
    writer.run({.writes = true}, 500ms);
    for (const auto &copy : log.records) {
        EXPECT_TRUE(copy.contains(6));
        EXPECT_FALSE(copy.contains(5));
    }
}

} // namespace
