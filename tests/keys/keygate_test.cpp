#include "heatherridge_coordination/keys/keygate.h"

#include <gtest/gtest.h>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const WallTime Now{1'000'000s};
const GateId Self{.process = ProcessName("p"), .incarnation = Incarnation{1}};
const GateId Witness{.process = ProcessName("w"), .incarnation = Incarnation{2}};
const GateId Entry{.process = ProcessName("e"), .incarnation = Incarnation{3}};

/** One gate with a hand-driven log: appends land, and are read back, only when told. */
struct Bench
{
    explicit Bench(KeySafeguards safeguards = {})
        : gate(Self, {.safeguards = safeguards})
    {
        take(gate.placementChanged({.wanted = true, .witnesses = {Witness}}, Now));
        take(gate.logChanged(true, Now));
        take(gate.caughtUp(Now));
        landAndRead();
    }

    void take(KeyActions actions)
    {
        for (auto &action : actions) {
            std::visit(Visitor{
                           [this](AppendBatch &append) { lastBatch = std::move(append.batch); },
                           [this](const RunCall &run) { runs.push_back(run); },
                           [this](AnswerCall &answer) { replies.push_back(std::move(answer.reply)); },
                           [this](SendToGate &send) { sent.push_back(std::move(send)); },
                       },
                       action);
        }
    }

    void landAndRead()
    {
        take(gate.appended(lastBatch->serial, true, Now));
        take(gate.read(static_cast<LogOffset>(++offset), std::exchange(lastBatch, std::nullopt), Now));
    }

    void request(int key, std::string_view body = "b")
    {
        take(gate.request({.attempt = {.entry = Entry, .number = ++attempts},
                           .key = targetKey(key),
                           .fingerprint = fingerprintOf(WorkspaceName("w"), "POST", "/", body)},
                          Now));
    }

    /** The witness promises for every claim that it was asked for but the last @p except ones. */
    void promise(std::size_t except)
    {
        sent.clear();
        take(gate.tick(Now));
        const auto asked = std::exchange(sent, {});
        for (std::size_t index = 0; index + except < asked.size(); ++index) {
            const auto &ask = std::get<ActivateRequest>(asked[index].message);
            take(gate.message(Witness, ActivateReply{.claim = ask.claim, .until = ask.until}, Now));
        }
    }

    static Uuid7 targetKey(int key)
    {
        return Uuid7::make(Now, 0, static_cast<std::uint64_t>(key) << 8U);
    }

    ErrorKind lastError() const
    {
        const auto *error = replies.empty() ? nullptr : std::get_if<Error>(&replies.back());
        return error == nullptr ? ErrorKind::Internal : error->kind;
    }

    KeyGate gate;
    std::optional<KeyBatch> lastBatch;
    std::vector<RunCall> runs;
    std::vector<KeyReply> replies;
    std::vector<SendToGate> sent;
    std::uint64_t offset = 0;
    std::uint64_t attempts = 0;
};

TEST(KeyGate, RunsOnceTheIntentIsReadBackAndRepeatsTheAnswer)
{
    Bench bench;
    bench.request(1);
    EXPECT_TRUE(bench.runs.empty());
    bench.landAndRead();
    ASSERT_EQ(bench.runs.size(), 1U);
    bench.request(1);
    bench.request(1, "other");
    EXPECT_EQ(bench.lastError(), ErrorKind::KeyMismatch);
    const StoredAnswer answer{.status = 201, .body = "seat 7"};
    bench.take(bench.gate.served(Bench::targetKey(1), answer));
    bench.request(1);
    ASSERT_EQ(bench.replies.size(), 4U);
    for (const auto index : {1U, 2U, 3U}) {
        EXPECT_EQ(std::get<StoredAnswer>(bench.replies[index]), answer);
    }
    EXPECT_EQ(bench.runs.size(), 1U);
    bench.request(1, "other");
    EXPECT_EQ(bench.lastError(), ErrorKind::KeyMismatch);
}

TEST(KeyGate, SaysThatALongAnswerRanWithoutKeepingIt)
{
    Bench bench;
    bench.request(1);
    bench.landAndRead();
    bench.take(bench.gate.served(Bench::targetKey(1),
                                 StoredAnswer{.status = 200, .body = std::string(StoredAnswer::MaxBody + 1, 'x')}));
    EXPECT_EQ(std::get<StoredAnswer>(bench.replies.back()).body.size(), StoredAnswer::MaxBody + 1);
    bench.request(1);
    EXPECT_EQ(bench.lastError(), ErrorKind::KeyOutcomeUnknown);
    EXPECT_EQ(std::get<Error>(bench.replies.back()).ranOrDefault(), Ran::Yes);
}

TEST(KeyGate, CommitsManyIntentsInOneAppend)
{
    Bench bench;
    bench.request(1);
    const auto first = bench.lastBatch;
    for (int key = 2; key < 40; ++key) {
        bench.request(key);
    }
    EXPECT_EQ(bench.lastBatch, first);
    bench.landAndRead();
    ASSERT_TRUE(bench.lastBatch);
    EXPECT_EQ(bench.lastBatch->records.size(), 38U);
    bench.landAndRead();
    EXPECT_EQ(bench.runs.size(), 39U);
}

struct WindowRow
{
    const char *story;
    std::chrono::milliseconds age;
    ErrorKind kind;
};

const WindowRow WindowRows[] = {
    {"older than the window", 25h, ErrorKind::KeyExpired},
    {"from a clock far ahead", -5min, ErrorKind::BadIdempotencyKey},
};

class KeyWindow : public testing::TestWithParam<WindowRow>
{
};

TEST_P(KeyWindow, RefusesKeysThatCantBeDated)
{
    Bench bench;
    bench.take(bench.gate.request(
        {.attempt = {.entry = Entry, .number = 1}, .key = Uuid7::make(Now - GetParam().age, 1, 1)}, Now));
    EXPECT_EQ(bench.lastError(), GetParam().kind) << GetParam().story;
    EXPECT_FALSE(bench.lastBatch);
}

INSTANTIATE_TEST_SUITE_P(Table, KeyWindow, testing::ValuesIn(WindowRows));

// Two trucks after an outage: the holder's renewal had landed unseen, and a successor was let in by a witness of that
// renewal, while the holder went on under the promises for the claim before it. So a claim on its way counts.
TEST(KeyGate, NeedsPromisesForAClaimOnItsWayToo)
{
    for (const bool counts : {true, false}) {
        KeySafeguards safeguards;
        safeguards.claimsInFlightCount = counts;
        Bench bench(safeguards);
        const auto other = GateId{.process = ProcessName("w2"), .incarnation = Incarnation{4}};
        bench.take(bench.gate.placementChanged({.wanted = true, .witnesses = {other}}, Now));
        ASSERT_TRUE(bench.lastBatch);
        bench.take(bench.gate.appended(bench.lastBatch->serial, false, Now));
        bench.take(bench.gate.logChanged(false, Now));
        bench.promise(1);
        bench.request(1);
        EXPECT_EQ(bench.runs.size(), counts ? 0U : 1U);
    }
}

// A deposit is charged twice: its first run met a closed port and was released; the batch that said so landed twice,
// the second time after the key had been announced again, and so released a key that was running. See
// LedgerFold for the safeguard; off, the fold must show the fault.
TEST(KeyLedger, ADoubledReleaseIsSkippedByItsNumber)
{
    for (const bool skipped : {true, false}) {
        KeySafeguards safeguards;
        safeguards.doubledBatchesSkipped = skipped;
        Bench bench(safeguards);
        bench.request(1);
        bench.landAndRead();
        bench.take(bench.gate.served(Bench::targetKey(1), Error{.kind = ErrorKind::TargetUnreachable, .ran = Ran::No}));
        bench.take(bench.gate.tick(Now));
        const auto release = bench.lastBatch;
        bench.landAndRead();
        bench.request(1);
        bench.landAndRead();
        ASSERT_EQ(bench.runs.size(), 2U);
        bench.take(bench.gate.read(static_cast<LogOffset>(++bench.offset), release, Now));
        EXPECT_EQ(bench.gate.ledger().find(Bench::targetKey(1))->fate, skipped ? KeyFate::Open : KeyFate::NotRun);
    }
}

TEST(KeyFrame, SurvivesItsCodecAndAnyCutIsRefused)
{
    const PlacedClaim placed{.offset = LogOffset{4}, .claim = {.id = {Self, 2}, .witnesses = {Witness}, .until = Now}};
    const KeyIntent intent{.key = Bench::targetKey(1), .runner = Self};
    const KeyMessage messages[] = {
        ActivateRequest{.claim = {Self, 1}, .until = Now},
        ActivateReply{.claim = {Self, 1}, .until = Now},
        RevokeRequest{.claim = {Self, 1}},
        RevokeReply{.claim = {Self, 1}, .activatedUntil = Now},
        ReleaseRequest{.claim = {Self, 1}, .withRight = true},
        ReleaseReply{.claim = placed, .withRight = true, .until = Now, .unrecorded = {intent}, .known = {intent}},
    };
    for (const auto &message : messages) {
        const KeyFrame frame{ServiceName("s"), KeyShard{3}, Self, Witness, message};
        const auto bytes = encode(frame);
        const auto back = decodeKeyFrame(bytes);
        ASSERT_EQ(errorIn(back), nullptr) << errorIn(back)->detail;
        EXPECT_EQ(std::get<KeyFrame>(back), frame);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            const Bytes cut(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(length));
            EXPECT_NE(errorIn(decodeKeyFrame(cut)), nullptr);
        }
    }
}

} // namespace
