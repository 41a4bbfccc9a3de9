#include "heatherridge_protocol/keyrecordcodec.h"
#include "heatherridge_state/keys/keyledger.h"
#include "heatherridge_state/keys/keyshards.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const GateId GateA{.process = ProcessName("a"), .incarnation = Incarnation{1}};
const GateId GateB{.process = ProcessName("b"), .incarnation = Incarnation{2}};

Uuid7 keyAt(int second)
{
    return Uuid7::make(WallTime(1'000'000s + std::chrono::seconds(second)), 1, 1);
}

KeyClaim claimOf(const GateId &gate, std::uint64_t basedOn)
{
    return {.id = {.holder = gate, .serial = 1}, .basedOn = static_cast<LogOffset>(basedOn)};
}

KeyIntent intentOf(int second, const GateId &gate)
{
    return {.key = keyAt(second), .runner = gate};
}

KeyOutcome outcomeOf(int second, const GateId &gate, RunState runState)
{
    return {.key = keyAt(second), .runner = gate, .runState = runState, .answer = {.status = 201}};
}

KeyBatch batchOf(const GateId &writer, std::uint64_t serial, std::vector<KeyRecord> records,
                 const LedgerView &view = {})
{
    KeyBatch batch;
    batch.writer = writer;
    batch.serial = serial;
    batch.view = view;
    batch.records = std::move(records);
    return batch;
}

struct BatchRow
{
    GateId writer;
    std::uint64_t serial;
    std::vector<KeyRecord> records;
};

struct LedgerRow
{
    const char *description;
    std::vector<BatchRow> batches;
    GateId holder;
    std::optional<GateId> runner; ///< expected runner of the key created at second 5
    RunState runState;
};

const LedgerRow LedgerRows[] = {
    {"an intent by the holder is valid", {{GateA, 1, {claimOf(GateA, 0), intentOf(5, GateA)}}}, GateA, GateA, {}},
    {"an intent by any other gate is ignored",
     {{GateA, 1, {claimOf(GateA, 0)}}, {GateB, 1, {intentOf(5, GateB)}}},
     GateA,
     {},
     {}},
    {"of two racing claims the lower offset wins",
     {{GateA, 1, {claimOf(GateA, 0)}}, {GateB, 1, {claimOf(GateB, 0), intentOf(5, GateB)}}},
     GateA,
     {},
     {}},
    {"a paused holder's intent logged after its successor's claim is ignored",
     {{GateA, 1, {claimOf(GateA, 0)}}, {GateB, 1, {claimOf(GateB, 1)}}, {GateA, 2, {intentOf(5, GateA)}}},
     GateB,
     {},
     {}},
    {"the successor can't run what its predecessor announced",
     {{GateA, 1, {claimOf(GateA, 0), intentOf(5, GateA)}}, {GateB, 1, {claimOf(GateB, 1), intentOf(5, GateB)}}},
     GateB,
     GateA,
     RunState::Open},
    {"the predecessor's outcome is still accepted",
     {{GateA, 1, {claimOf(GateA, 0), intentOf(5, GateA)}},
      {GateB, 1, {claimOf(GateB, 1)}},
      {GateA, 2, {outcomeOf(5, GateA, RunState::Answered)}}},
     GateB,
     GateA,
     RunState::Answered},
    {"a released key may be announced again",
     {{GateA, 1, {claimOf(GateA, 0), intentOf(5, GateA)}},
      {GateA, 2, {outcomeOf(5, GateA, RunState::NotRun)}},
      {GateB, 1, {claimOf(GateB, 1), intentOf(5, GateB)}}},
     GateB,
     GateB,
     RunState::Open},
    {"a duplicate release doesn't release the second run",
     {{GateA, 1, {claimOf(GateA, 0), intentOf(5, GateA)}},
      {GateA, 2, {outcomeOf(5, GateA, RunState::NotRun)}},
      {GateA, 3, {intentOf(5, GateA)}},
      {GateA, 2, {outcomeOf(5, GateA, RunState::NotRun)}}},
     GateA,
     GateA,
     RunState::Open},
    {"an outcome without an intent records a run made while the log was unavailable",
     {{GateA, 1, {claimOf(GateA, 0)}}, {GateA, 2, {outcomeOf(5, GateA, RunState::Answered)}}},
     GateA,
     GateA,
     RunState::Answered},
    {"a key below a claim's floor can't be announced",
     {{GateA, 1, {KeyClaim{.id = {GateA, 1}, .floor = keyAt(6).time()}, intentOf(5, GateA)}}},
     GateA,
     {},
     {}},
};

class LedgerReplay : public testing::TestWithParam<LedgerRow>
{
};

TEST_P(LedgerReplay, YieldsOneHolderAndOneRunner)
{
    KeyLedger ledger({});
    std::uint64_t offset = 0;
    for (const auto &batch : GetParam().batches) {
        ledger.apply(static_cast<LogOffset>(++offset), batchOf(batch.writer, batch.serial, batch.records));
    }
    EXPECT_TRUE(ledger.isHolder(GetParam().holder)) << GetParam().description;
    const auto *entry = ledger.find(keyAt(5));
    ASSERT_EQ(entry != nullptr, GetParam().runner.has_value()) << GetParam().description;
    if (entry != nullptr) {
        EXPECT_EQ(entry->runner, *GetParam().runner) << GetParam().description;
        EXPECT_EQ(entry->runState, GetParam().runState) << GetParam().description;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, LedgerReplay, testing::ValuesIn(LedgerRows));

// Guards against running an old key again: if the ledger evicted a key to bound its memory and took its absence for
// "never used", a customer would be charged again. Every evicted key is below the floor, and the floor never decreases.
RC_GTEST_PROP(KeyLedger, EvictsOnlyKeysBelowTheFloor, (const std::vector<std::uint8_t> &seconds))
{
    KeyLedger ledger({.window = 60s, .maxEntries = 20, .maxAnswerBytes = 100});
    ledger.apply(LogOffset{1}, batchOf(GateA, 1, {claimOf(GateA, 0)}));
    std::vector<int> announced;
    std::uint64_t serial = 1;
    for (const auto second : seconds) {
        const auto floor = ledger.floor();
        auto outcome = outcomeOf(second, GateA, RunState::Answered);
        outcome.answer.body = "0123456789";
        ++serial;
        ledger.apply(static_cast<LogOffset>(serial), batchOf(GateA, serial, {outcome}));
        announced.push_back(second);
        RC_ASSERT(ledger.floor() >= floor);
        RC_ASSERT(ledger.entries().size() <= 20U);
        for (const auto announcedSecond : announced) {
            RC_ASSERT(ledger.find(keyAt(announcedSecond)) != nullptr
                      || !ledger.canDecide(keyAt(announcedSecond).time()));
        }
    }
}

// A process starts after the older records of a stream have expired. It must not take a key for new because its record
// has expired, and must know which gate holds the shard.
TEST(KeyLedger, ResumesAtABatchThatCoversTheLostRecords)
{
    KeyLedger complete({});
    complete.apply(LogOffset{1}, batchOf(GateA, 1, {claimOf(GateA, 0)}));
    complete.apply(LogOffset{2}, batchOf(GateA, 2, {intentOf(3, GateA)}));
    const auto uncoveredBatch = batchOf(GateA, 3, {intentOf(4, GateA)}, {.covers = LogOffset{1}});
    const auto coveredBatch = batchOf(GateA, 4, {intentOf(9, GateA)}, complete.view());
    KeyLedger reader({});
    reader.recordsExpired(LogOffset{2});
    reader.apply(LogOffset{3}, uncoveredBatch);
    EXPECT_FALSE(reader.isComplete());
    EXPECT_FALSE(reader.canDecide(keyAt(50).time()));
    reader.apply(LogOffset{4}, coveredBatch);
    ASSERT_TRUE(reader.isComplete());
    EXPECT_TRUE(reader.isHolder(GateA));
    EXPECT_NE(reader.find(keyAt(4)), nullptr);
    EXPECT_FALSE(reader.canDecide(keyAt(3).time()));
    EXPECT_TRUE(reader.canDecide(keyAt(50).time()));
}

// All records of an idle shard have expired, so no claim is known. A claim made after the loss is valid only at the
// next offset. With any record in between, no reader may accept it.
TEST(KeyLedger, AClaimAfterLossCountsOnlyAtTheNextOffset)
{
    for (const bool hasRecordBetween : {false, true}) {
        KeyLedger ledger({});
        ledger.recordsExpired(LogOffset{7});
        auto claim = claimOf(GateB, 7);
        claim.afterLoss = true;
        claim.floor = keyAt(10).time();
        if (hasRecordBetween) {
            ledger.apply(LogOffset{8}, batchOf(GateA, 9, {intentOf(20, GateA)}));
        }
        ledger.apply(next(ledger.appliedOffset()), batchOf(GateB, 1, {claim}));
        EXPECT_EQ(ledger.isHolder(GateB), !hasRecordBetween);
        EXPECT_EQ(ledger.canDecide(keyAt(10).time()), !hasRecordBetween);
        EXPECT_FALSE(ledger.canDecide(keyAt(9).time()));
    }
}

TEST(KeyBatch, RoundTripsAndRejectsTruncation)
{
    KeyClaim claim = claimOf(GateB, 7);
    claim.witnesses = {GateA};
    claim.until = keyAt(100).time();
    auto outcome = outcomeOf(4, GateA, RunState::Answered);
    outcome.answer = {.status = 201, .contentType = "application/json", .body = std::string("\x00\xff", 2)};
    const auto batch =
        batchOf(GateA, 3, {intentOf(3, GateA), outcome, claim},
                {.covers = LogOffset{2}, .claim = LoggedClaim{LogOffset{1}, claim}, .floor = keyAt(1).time()});
    const auto bytes = encode(batch);
    const auto decoded = decodeKeyBatch(bytes);
    ASSERT_EQ(errorIn(decoded), nullptr);
    EXPECT_EQ(std::get<KeyBatch>(decoded), batch);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        const auto truncated =
            decodeKeyBatch(Bytes(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(length)));
        EXPECT_NE(errorIn(truncated), nullptr) << length;
    }
}

struct UuidRow
{
    const char *text;
    bool valid;
};

const UuidRow UuidRows[] = {
    {"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", true},   {"017F22E2-79B0-7CC3-98C4-DC0C0C07398F", true},
    {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", false},  {"017f22e2-79b0-7cc3-18c4-dc0c0c07398f", false},
    {"017f22e279b07cc398c4dc0c0c07398f", false},      {"017f22e2-79b0-7cc3-98c4-dc0c0c07398g", false},
    {"017f22e2-79b0-7cc3-98c4-dc0c0c07398f0", false}, {"", false},
};

class UuidParsing : public testing::TestWithParam<UuidRow>
{
};

TEST_P(UuidParsing, ParsesOnlyVersion7)
{
    const auto uuid = Uuid7::parse(GetParam().text);
    ASSERT_EQ(uuid.has_value(), GetParam().valid);
    if (uuid) {
        EXPECT_EQ(uuid->toString(), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
        EXPECT_EQ(uuid->time(), WallTime(1645557742000ms)); // the example of RFC 9562, appendix A.6
    }
}

INSTANTIATE_TEST_SUITE_P(Table, UuidParsing, testing::ValuesIn(UuidRows));

TEST(RequestFingerprint, DependsOnEachPartAndOnTheirBoundaries)
{
    const auto base = fingerprintOf(WorkspaceName("w"), "POST", "/a", "b");
    EXPECT_EQ(base, fingerprintOf(WorkspaceName("w"), "POST", "/a", "b"));
    EXPECT_NE(base, fingerprintOf(WorkspaceName("x"), "POST", "/a", "b"));
    EXPECT_NE(base, fingerprintOf(WorkspaceName("w"), "PUT", "/a", "b"));
    EXPECT_NE(base, fingerprintOf(WorkspaceName("w"), "POST", "/ab", ""));
}

// When a target is removed, only its own shards may move: the holders of all other shards keep the in-memory state that
// lets them run keys.
RC_GTEST_PROP(KeyShards, ALeavingTargetMovesOnlyItsOwnShards, ())
{
    const auto count = *rc::gen::inRange(2, 12);
    std::string text = "[zone.z]\nregion = r\n";
    const auto section = [](int index) {
        return "[target.t" + std::to_string(index)
            + "]\nhost = h\nzone = z\nservice = s\nkind = plain\ngate = 127.0.0.1:" + std::to_string(index + 1)
            + "\nbackend = 127.0.0.2:" + std::to_string(index + 1) + "\n";
    };
    const auto leaving = *rc::gen::inRange(0, count);
    auto without = text;
    for (int index = 0; index < count; ++index) {
        text += section(index);
        without += index == leaving ? "" : section(index);
    }
    const auto all = std::get<Inventory>(Inventory::fromDocument(IniDocument::parse(text)));
    const auto remaining = std::get<Inventory>(Inventory::fromDocument(IniDocument::parse(without)));
    for (std::uint32_t shard = 0; shard < KeyShardCount; ++shard) {
        const auto before = holdersOf(all, ServiceName("s"), static_cast<KeyShard>(shard));
        const auto after = holdersOf(remaining, ServiceName("s"), static_cast<KeyShard>(shard));
        const bool isHeldByLeaving = before[0]->name == TargetName("t" + std::to_string(leaving));
        RC_ASSERT(after[0]->name == before[isHeldByLeaving ? 1 : 0]->name);
    }
}

} // namespace
