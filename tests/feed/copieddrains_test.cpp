#include "feed/rulescopylog.h"
#include "heatherridge_transport/direct/gatewaycontrol.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

/** A gateway's control state that records what it publishes, in order. */
class ControlledGateway
{
public:
    explicit ControlledGateway(RulesCopyLog &log)
        : m_control(
            log, {.rulesCopies = RulesCopyLog::CopyCount},
            {.rulesChanged =
                 [this](const auto &rules) { published.push_back("rules " + std::to_string(rules->config().version)); },
             .targetsChanged = [](const auto &) {},
             .drainedZonesChanged =
                 [this](const auto &zones) {
                     std::string text = "drained";
                     for (const auto &zone : zones) {
                         text += " " + zone.text();
                     }
                     published.push_back(text);
                 },
             .reachabilityChanged = [](bool) {}},
            m_metrics)
    {
    }

    void run(std::chrono::milliseconds duration, bool writesCopies = false)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += 20ms) {
            m_control.tick(m_now, writesCopies);
        }
    }

    std::vector<std::string> published{};

private:
    Metrics m_metrics;
    GatewayControl m_control;
    SteadyTime m_now{1h};
};

using Published = std::vector<std::string>;

/** Returns a log with rules 3 and an order to drain zone a-1, and copies of both. */
RulesCopyLog logWithDrainedZone()
{
    RulesCopyLog log;
    log.writeRegister("config", "3");
    log.writeRegister("drain/a-1", "{}");
    ControlledGateway(log).run(500ms, true);
    return log;
}

/** Returns what a gateway publishes that starts before @p log while its register is unavailable. */
Published publishedWithoutRegister(RulesCopyLog log)
{
    log.isRegisterUnavailable = true;
    ControlledGateway starting(log);
    starting.run(500ms);
    return starting.published;
}

// Guards against a gateway that starts while the register of rules is unavailable and sends requests to a drained zone.
TEST(CopiedDrains, AreInForceBeforeAGatewayThatStartsWithoutTheRegisterServes)
{
    EXPECT_EQ(publishedWithoutRegister(logWithDrainedZone()), (Published{"drained a-1", "rules 3"}));
}

// Guards against copies that outweigh the register: an order withdrawn after the last write of the copies must end.
TEST(CopiedDrains, EndWhenTheRegisterIsReadAgain)
{
    auto log = logWithDrainedZone();
    log.writeRegister("drain/a-1", std::nullopt);
    log.isRegisterUnavailable = true;
    ControlledGateway starting(log);
    starting.run(500ms);
    log.isRegisterUnavailable = false;
    starting.run(500ms);
    EXPECT_EQ(starting.published, (Published{"drained a-1", "rules 3", "drained"}));
}

// Guards against copies that keep an order after its withdrawal although their writer knows of it.
TEST(CopiedDrains, AreRemovedWithTheOrder)
{
    auto log = logWithDrainedZone();
    ControlledGateway writer(log);
    writer.run(500ms, true);
    log.writeRegister("drain/a-1", std::nullopt);
    writer.run(500ms, true);
    EXPECT_EQ(publishedWithoutRegister(log), (Published{"rules 3"}));
}

// Guards against orders that are lost when new rules replace the version that they were stored with.
TEST(CopiedDrains, FollowTheVersionOfTheRules)
{
    auto log = logWithDrainedZone();
    ControlledGateway writer(log);
    writer.run(500ms, true);
    log.writeRegister("config", "4");
    writer.run(500ms, true);
    EXPECT_EQ(publishedWithoutRegister(log), (Published{"drained a-1", "rules 4"}));
    for (const auto &drains : log.drains) {
        ASSERT_EQ(drains.size(), 1U);
        EXPECT_EQ(drains.begin()->first.version, 4U);
    }
}

// Guards against copies of an earlier version, which have no orders, that are rejected or change the drained zones.
TEST(CopiedDrains, AreNotNeededInCopiesOfAnEarlierVersion)
{
    auto log = logWithDrainedZone();
    log.drains = {};
    EXPECT_EQ(publishedWithoutRegister(log), (Published{"rules 3"}));
}

// Guards against a malformed record in a copy that hides an older record or the rules.
TEST(CopiedDrains, AreReadDespiteAMalformedRecord)
{
    auto log = logWithDrainedZone();
    for (auto &drains : log.drains) {
        drains.emplace(DrainsStamp{.version = 9, .position = 9}, std::nullopt);
    }
    EXPECT_EQ(publishedWithoutRegister(log), (Published{"drained a-1", "rules 3"}));
}

// Guards against a copy that missed the last writes and overrides the orders of a copy that has them.
TEST(CopiedDrains, AreTheNewestOfAllCopies)
{
    auto log = logWithDrainedZone();
    log.drains.back() = {{DrainsStamp{.version = 2, .position = 9}, std::set<ZoneName>{ZoneName("b-1")}}};
    EXPECT_EQ(publishedWithoutRegister(log), (Published{"drained a-1", "rules 3"}));
}

/** A writer of the copies, given its knowledge of the register directly. */
class Writer
{
public:
    explicit Writer(RulesCopyLog &log)
        : m_copies(log, {.count = RulesCopyLog::CopyCount},
                   {.drainsRestored = [](const auto &) {},
                    .restored = [](const auto &) {},
                    .failed = [](std::string_view, const Error &) {}})
    {
    }

    void setState(std::uint64_t version, std::uint64_t position, const std::set<std::string> &zones)
    {
        std::set<ZoneName> names;
        for (const auto &zone : zones) {
            names.insert(ZoneName(zone));
        }
        m_copies.setDrains(names, position);
        m_copies.setRules({.key = "config", .value = std::to_string(version)}, version);
    }

    void logRestored()
    {
        m_copies.logRestored();
    }

    void run(std::chrono::milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += 20ms) {
            m_copies.tick({.writes = true}, m_now);
        }
    }

private:
    RulesCopies m_copies;
    SteadyTime m_now{1h};
};

struct TwoWritersRow
{
    const char *name;
    std::uint64_t staleVersion;
    std::uint64_t stalePosition;
    std::set<std::string> staleZones;
};

const TwoWritersRow TwoWritersRows[] = {
    {"knows an earlier order", 3, 5, {"b-1"}},
    {"knows no order", 3, 5, {}},
    {"knows an order of earlier rules", 2, 3, {"b-1"}},
    {"knows the same orders", 3, 8, {"a-1"}},
};

class TwoWriters : public testing::TestWithParam<TwoWritersRow>
{
};

// Guards against a writer that was paused or has not read the latest orders and replaces them in the copies.
TEST_P(TwoWriters, KeepTheNewestOrders)
{
    const auto &row = GetParam();
    RulesCopyLog log;
    Writer stale(log);
    stale.setState(row.staleVersion, row.stalePosition, row.staleZones);
    stale.run(40ms);
    Writer current(log);
    current.setState(3, 8, {"a-1"});
    current.run(500ms);
    const auto writes = log.writes;
    stale.setState(row.staleVersion, row.stalePosition, row.staleZones);
    stale.run(2s);
    Writer staleSuccessor(log);
    staleSuccessor.setState(row.staleVersion, row.stalePosition, row.staleZones);
    staleSuccessor.run(2s);
    EXPECT_LE(log.writes, writes + 2 * RulesCopyLog::CopyCount) << row.name;
    auto published = publishedWithoutRegister(log);
    std::erase(published, "rules 2"); // a writer with an earlier version adds it as a record of its own
    EXPECT_EQ(published, (Published{"drained a-1", "rules 3"})) << row.name;
}

INSTANTIATE_TEST_SUITE_P(Table, TwoWriters, testing::ValuesIn(TwoWritersRows));

// Guards against records of another writer that remain in the copies and drain a zone at a start months later.
TEST(CopiedDrains, OfAnotherWriterAreRemovedWithTheOrder)
{
    RulesCopyLog log;
    Writer first(log);
    first.setState(3, 5, {"a-1"});
    first.run(500ms);
    Writer second(log);
    second.setState(4, 6, {"a-1"});
    second.run(500ms);
    first.setState(5, 7, {"a-1"});
    first.run(500ms);
    first.setState(5, 8, {});
    first.run(500ms);
    for (const auto &drains : log.drains) {
        EXPECT_TRUE(drains.empty());
    }
}

struct LostWriteRow
{
    const char *name;
    bool isUnavailable; ///< the write is not executed
    bool losesAnswers; ///< the write is executed, but its answer is lost
    std::set<std::string> zones; ///< known to the writer after the failure
    Published published;
};

const LostWriteRow LostWriteRows[] = {
    {"a write is lost", true, false, {"a-1"}, {"drained a-1", "rules 3"}},
    {"an answer is lost", false, true, {"a-1"}, {"drained a-1", "rules 3"}},
    {"a write is lost and the order withdrawn", true, false, {}, {"rules 3"}},
    {"an answer is lost and the order withdrawn", false, true, {}, {"rules 3"}},
    {"an answer is lost and another zone drained", false, true, {"a-2"}, {"drained a-2", "rules 3"}},
};

class LostWrites : public testing::TestWithParam<LostWriteRow>
{
};

// Guards against orders that are missing from, or remain in, the copies because a write or its answer was lost.
TEST_P(LostWrites, AreRepeatedWithinACallInterval)
{
    const auto &row = GetParam();
    RulesCopyLog log;
    Writer writer(log);
    writer.setState(3, 4, {});
    writer.run(500ms);
    log.isUnavailable.fill(row.isUnavailable);
    log.losesAnswers = row.losesAnswers;
    writer.setState(3, 5, {"a-1"});
    writer.run(500ms);
    log.isUnavailable.fill(false);
    log.losesAnswers = false;
    writer.setState(3, row.zones.contains("a-1") ? 5 : 6, row.zones);
    writer.run(1'040ms);
    EXPECT_EQ(publishedWithoutRegister(log), row.published) << row.name;
    for (const auto &drains : log.drains) {
        EXPECT_EQ(drains.size(), row.zones.size()) << row.name;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, LostWrites, testing::ValuesIn(LostWriteRows));

struct RestoreRow
{
    const char *name;
    StoredDrains stored; ///< in the copies after the restore
    std::uint64_t position; ///< of the register when it is read after the restore; 20 before
    std::set<std::string> zones; ///< in the register after the restore
    Published published;
};

const DrainsStamp BeforeRestore{.version = 3, .position = 30};
const DrainsStamp Older{.version = 3, .position = 6};
const std::set<ZoneName> ZoneA{ZoneName("a-1")};
const std::set<ZoneName> ZoneB{ZoneName("b-1")};

const RestoreRow RestoreRows[] = {
    {"the copies have lost the order", {}, 10, {"a-1"}, {"drained a-1", "rules 3"}},
    {"the copies have an earlier order", {{Older, ZoneB}}, 10, {"a-1"}, {"drained a-1", "rules 3"}},
    {"the order is in none", {}, 10, {}, {"rules 3"}},
    {"lost position in the copies", {{BeforeRestore, ZoneB}}, 10, {"a-1"}, {"drained a-1", "rules 3"}},
    {"lost position, read late", {{BeforeRestore, ZoneB}}, 25, {"a-1"}, {"drained a-1", "rules 3"}},
    {"lost position, no drained zone", {{BeforeRestore, ZoneB}}, 10, {}, {"rules 3"}},
};

class RestoredDrains : public testing::TestWithParam<RestoreRow>
{
};

// Guards against copies that keep outdated orders because positions in a restored register are assigned again.
TEST_P(RestoredDrains, AreReplacedByThoseOfTheRegister)
{
    const auto &row = GetParam();
    RulesCopyLog log;
    Writer writer(log);
    writer.setState(3, 20, {"a-1"});
    writer.run(500ms);
    log.drains.fill(row.stored);
    writer.logRestored();
    writer.run(500ms); // the copies may be read again before the register
    writer.setState(3, row.position, row.zones);
    writer.run(500ms);
    EXPECT_EQ(publishedWithoutRegister(log), row.published) << row.name;
    writer.setState(3, row.position + 1, {"c-1"});
    writer.run(500ms);
    EXPECT_EQ(publishedWithoutRegister(log), (Published{"drained c-1", "rules 3"})) << row.name;
}

INSTANTIATE_TEST_SUITE_P(Table, RestoredDrains, testing::ValuesIn(RestoreRows));

// Guards against calls and bytes in the log that deployments without a drained zone did not have before.
TEST(CopiedDrains, CauseNoCallsAndNoRecordsWhileNoZoneIsDrained)
{
    RulesCopyLog log;
    ControlledGateway writer(log);
    for (int version = 1; version <= 20; ++version) {
        log.writeRegister("config", std::to_string(version));
        writer.run(500ms, true);
    }
    EXPECT_EQ(log.writes, 20 * RulesCopyLog::CopyCount);
    EXPECT_EQ(log.reads, RulesCopyLog::CopyCount);
    EXPECT_EQ(log.drainsChanges, 0);
}

} // namespace
