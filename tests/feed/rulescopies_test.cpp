#include "heatherridge_coordination/feed/rulescopies.h"
#include "support/silentregisters.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

constexpr int Copies = 3;

/** Copies of rules in partitions that can be away; each answers at once. */
class CopiesLog final : public SilentRegisters
{
public:
    void readCopy(int copy, std::function<void(Result<RulesCopy>)> done) override
    {
        ++reads;
        if (isAway[copy]) {
            done(Error{.kind = ErrorKind::PlatformUnavailable});
            return;
        }
        RulesCopy kept;
        for (const auto &[version, rules] : records[copy]) {
            kept.versions.emplace(version, 1);
            kept.changes.push_back(rules);
        }
        done(std::move(kept));
    }

    void writeCopy(int copy, const RegisterChange &rules, std::uint64_t version,
                   const std::map<std::uint64_t, std::size_t> &dropped,
                   std::function<void(Result<std::size_t>)> done) override
    {
        ++writes;
        if (isAway[copy]) {
            done(Error{.kind = ErrorKind::PlatformUnavailable});
            return;
        }
        records[copy][version] = rules;
        for (const auto &[old, count] : dropped) {
            records[copy].erase(old);
        }
        done(std::size_t{1});
    }

    std::array<bool, Copies> isAway{};
    std::array<std::map<std::uint64_t, RegisterChange>, Copies> records{};
    int reads = 0;
    int writes = 0;
};

/** One process that has a log and no other memory. */
class Process
{
public:
    explicit Process(CopiesLog &log)
        : m_copies(log, {.count = Copies},
                   {.restored =
                        [this](const auto &changes) {
                            for (const auto &change : changes) {
                                restored.push_back(change.key);
                            }
                        },
                    .failed = [this](std::string_view, const Error &) { ++failures; }})
    {
    }

    void run(RulesCopies::Duty duty, std::chrono::milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += 20ms) {
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
    std::array<bool, Copies> isAwayForWriter;
    std::array<bool, Copies> isAwayForReader;
    bool isRestored;
};

const OutageRow OutageRows[] = {
    {"nothing away", {}, {}, true},
    {"one partition away while the copies are written", {true, false, false}, {}, true},
    {"two partitions away when they are read", {}, {true, true, false}, true},
    {"the only copy that was written is away", {true, true, false}, {false, false, true}, false},
    {"the whole log away", {}, {true, true, true}, false},
};

class Outages : public testing::TestWithParam<OutageRow>
{
};

// Guards against processes that start without rules, and refuse everything, while only the register of rules is away.
TEST_P(Outages, LeaveTheNewestRulesToAProcessWithout)
{
    const auto &row = GetParam();
    CopiesLog log;
    log.isAway = row.isAwayForWriter;
    Process writer(log);
    writer.setRules(4);
    writer.run({.writes = true}, 100ms);
    writer.setRules(7);
    writer.run({.writes = true}, 2s);
    log.isAway = row.isAwayForReader;
    Process reader(log);
    reader.run({.reads = true}, 100ms);
    EXPECT_EQ(contains(reader.restored, "7"), row.isRestored) << row.name;
}

INSTANTIATE_TEST_SUITE_P(Table, Outages, testing::ValuesIn(OutageRows));

// Guards against copies that grow with each version, and against calls for versions that are kept already.
TEST(RulesCopies, HoldTheNewestVersionAloneAndAreWrittenOnce)
{
    CopiesLog log;
    Process writer(log);
    for (std::uint64_t version = 1; version <= 20; ++version) {
        writer.setRules(version);
        writer.run({.writes = true}, 500ms);
    }
    EXPECT_EQ(log.writes, 20 * Copies);
    EXPECT_EQ(log.reads, Copies);
    for (const auto &copy : log.records) {
        EXPECT_EQ(copy.size(), 1U);
        EXPECT_TRUE(copy.contains(20));
    }
}

// Guards against a process that was paused with an old version and takes the newest one out of the copies.
TEST(RulesCopies, KeepANewerVersionBesideAnOldOneThatIsWrittenLate)
{
    CopiesLog log;
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

// Guards against reads of copies by every process all the time.
TEST(RulesCopies, AreLeftAloneByProcessesThatHaveRules)
{
    CopiesLog log;
    Process process(log);
    process.setRules(3);
    process.run({}, 5s);
    EXPECT_EQ(log.reads + log.writes, 0);
}

TEST(RulesCopies, AreAskedForAgainAfterAFailure)
{
    CopiesLog log;
    log.isAway = {true, true, true};
    Process reader(log);
    reader.run({.reads = true}, 1s);
    EXPECT_GE(reader.failures, Copies * 3);
    EXPECT_LE(reader.failures, Copies * 5);
}

// Guards against copies that stay at an old version, since their writer takes for granted what the log has lost.
TEST(RulesCopies, AreWrittenAgainOnceTheLogHasComeBackOlder)
{
    CopiesLog log;
    Process writer(log);
    writer.setRules(6);
    writer.run({.writes = true}, 500ms);
    const auto older = RegisterChange{.key = "5", .value = "rules"};
    log.records.fill({{5, older}});
    writer.run({.writes = true}, 500ms);
    EXPECT_FALSE(log.records[0].contains(6)) << "before it is told";
    writer.logRestored();
    writer.run({.writes = true}, 500ms);
    for (const auto &copy : log.records) {
        EXPECT_TRUE(copy.contains(6));
        EXPECT_FALSE(copy.contains(5));
    }
}

} // namespace
