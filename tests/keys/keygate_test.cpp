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

/** A gate whose log is driven by the test: appends complete and are read back only when the test says so. */
struct GateFixture
{
    explicit GateFixture(KeySafeguards safeguards = {}, bool isHolder = true)
        : gate(Self, {.safeguards = safeguards})
    {
        if (!isHolder) {
            collect(gate.logAvailabilityChanged(true, Now));
            collect(gate.streamCaughtUp(Now));
            return;
        }
        collect(gate.placementChanged({.shouldHold = true, .witnesses = {Witness}}, Now));
        collect(gate.logAvailabilityChanged(true, Now));
        collect(gate.streamCaughtUp(Now));
        completeAppendAndRead();
    }

    void collect(KeyActions actions)
    {
        for (auto &action : actions) {
            std::visit(Visitor{
                           [this](AppendBatch &append) { pendingBatch = std::move(append.batch); },
                           [this](const RunCall &run) { runs.push_back(run); },
                           [this](AnswerCall &answer) { replies.push_back(std::move(answer.reply)); },
                           [this](SendKeyMessage &send) { sentMessages.push_back(std::move(send)); },
                       },
                       action);
        }
    }

    void completeAppendAndRead()
    {
        collect(gate.appendCompleted(pendingBatch->serial, true, Now));
        collect(gate.recordRead(static_cast<LogOffset>(++offset), std::exchange(pendingBatch, std::nullopt), Now));
    }

    void request(int key, std::string_view body = "b")
    {
        collect(gate.requestReceived(
            {.attempt = {.entry = Entry, .number = ++attempts}, .key = keyFor(key), .fingerprint = fingerprint(body)},
            Now));
    }

    /** Reads records that @p writer has logged. */
    void read(const GateId &writer, std::vector<KeyRecord> records, WallTime now = Now)
    {
        ++offset;
        collect(gate.recordRead(static_cast<LogOffset>(offset),
                                KeyBatch{.writer = writer, .serial = offset, .records = std::move(records)}, now));
    }

    /** Ticks as often as a process does until @p time after the start. */
    void tickUntil(std::chrono::milliseconds time)
    {
        for (auto passed = 50ms; passed <= time; passed += 50ms) {
            collect(gate.tick(Now + passed));
        }
    }

    static RequestFingerprint fingerprint(std::string_view body = "b")
    {
        return fingerprintOf(WorkspaceName("w"), "POST", "/", body);
    }

    /** Answers all the gate's requests for a promise but the last @p unansweredCount ones. */
    void promiseClaims(std::size_t unansweredCount)
    {
        sentMessages.clear();
        collect(gate.tick(Now));
        const auto requests = std::exchange(sentMessages, {});
        for (std::size_t index = 0; index + unansweredCount < requests.size(); ++index) {
            const auto &request = std::get<ActivateRequest>(requests[index].message);
            collect(gate.messageReceived(Witness, ActivateReply{.claim = request.claim, .until = request.until}, Now));
        }
    }

    static Uuid7 keyFor(int key)
    {
        return Uuid7::make(Now, 0, static_cast<std::uint64_t>(key) << 8U);
    }

    ErrorKind lastError() const
    {
        const auto *error = replies.empty() ? nullptr : std::get_if<Error>(&replies.back());
        return error == nullptr ? ErrorKind::Internal : error->kind;
    }

    KeyGate gate;
    std::optional<KeyBatch> pendingBatch;
    std::vector<RunCall> runs;
    std::vector<KeyReply> replies;
    std::vector<SendKeyMessage> sentMessages;
    std::uint64_t offset = 0;
    std::uint64_t attempts = 0;
};

TEST(KeyGate, RunsOnceTheIntentIsReadBackAndReplaysTheAnswer)
{
    GateFixture fixture;
    fixture.request(1);
    EXPECT_TRUE(fixture.runs.empty());
    fixture.completeAppendAndRead();
    ASSERT_EQ(fixture.runs.size(), 1U);
    fixture.request(1);
    fixture.request(1, "other");
    EXPECT_EQ(fixture.lastError(), ErrorKind::KeyMismatch);
    const StoredAnswer answer{.status = 201, .body = "seat 7"};
    fixture.collect(fixture.gate.callCompleted(GateFixture::keyFor(1), answer));
    fixture.request(1);
    ASSERT_EQ(fixture.replies.size(), 4U);
    for (const auto index : {1U, 2U, 3U}) {
        EXPECT_EQ(std::get<StoredAnswer>(fixture.replies[index]), answer);
    }
    EXPECT_EQ(fixture.runs.size(), 1U);
    fixture.request(1, "other");
    EXPECT_EQ(fixture.lastError(), ErrorKind::KeyMismatch);
}

TEST(KeyGate, ReportsThatALongAnswerRanWithoutStoringIt)
{
    GateFixture fixture;
    fixture.request(1);
    fixture.completeAppendAndRead();
    fixture.collect(fixture.gate.callCompleted(
        GateFixture::keyFor(1), StoredAnswer{.status = 200, .body = std::string(StoredAnswer::MaxBodyBytes + 1, 'x')}));
    EXPECT_EQ(std::get<StoredAnswer>(fixture.replies.back()).body.size(), StoredAnswer::MaxBodyBytes + 1);
    fixture.request(1);
    EXPECT_EQ(fixture.lastError(), ErrorKind::KeyOutcomeUnknown);
    EXPECT_EQ(std::get<Error>(fixture.replies.back()).ranOrDefault(), ExecutionStatus::Yes);
}

TEST(KeyGate, GroupsIntentsInOneAppend)
{
    GateFixture fixture;
    fixture.request(1);
    const auto firstBatch = fixture.pendingBatch;
    for (int key = 2; key < 40; ++key) {
        fixture.request(key);
    }
    EXPECT_EQ(fixture.pendingBatch, firstBatch);
    fixture.completeAppendAndRead();
    ASSERT_TRUE(fixture.pendingBatch);
    EXPECT_EQ(fixture.pendingBatch->records.size(), 38U);
    fixture.completeAppendAndRead();
    EXPECT_EQ(fixture.runs.size(), 39U);
}

// Guards against an attempt that waits for promises until its caller's deadline, because each tick restarts its wait.
TEST(KeyGate, RefusesAnAttemptThatHasWaitedForPromises)
{
    GateFixture fixture;
    fixture.collect(fixture.gate.logAvailabilityChanged(false, Now));
    fixture.request(1);
    fixture.tickUntil(KeyGate::Options{}.maxParkTime);
    EXPECT_TRUE(fixture.replies.empty());
    fixture.tickUntil(KeyGate::Options{}.maxParkTime + 50ms);
    EXPECT_EQ(fixture.lastError(), ErrorKind::KeyNotDecidable);
}

/** How a shard with a run under way came to this gate, and how that run ends. */
struct EarlierRunRow
{
    const char *name;
    bool isHandedOver; ///< by the process that runs the call; otherwise it is taken for dead
    std::optional<RunState> outcome; ///< that this process records; empty if it records none
    std::optional<ErrorKind> error; ///< that a repeat gets; empty if it gets the answer
    bool waits; ///< whether the repeat waits for the outcome
};

const EarlierRunRow EarlierRunRows[] = {
    {"HandedOverAndAnswered", true, RunState::Answered, std::nullopt, true},
    {"HandedOverAndFailed", true, RunState::Unknown, ErrorKind::KeyOutcomeUnknown, true},
    {"HandedOverByAProcessThatThenDies", true, std::nullopt, ErrorKind::KeyOutcomeUnknown, true},
    {"TakenOverFromADeadProcess", false, std::nullopt, ErrorKind::KeyOutcomeUnknown, false},
};

class EarlierRuns : public testing::TestWithParam<EarlierRunRow>
{
};

// Guards against a caller that repeats a booking and is told that its outcome is unknown although it is on its way: the
// target that runs it was withdrawn and has handed the shard over.
TEST_P(EarlierRuns, AreWaitedForIfTheirProcessHandedOver)
{
    const auto &row = GetParam();
    const GateId third{.process = ProcessName("v"), .incarnation = Incarnation{4}};
    GateFixture fixture({}, false);
    KeyClaim claim{.id = {.holder = Witness, .serial = 1}, .until = Now + 2h};
    claim.witnesses = row.isHandedOver ? std::vector{third} : std::vector<GateId>{};
    fixture.read(Witness, {claim});
    fixture.read(
        Witness,
        {KeyIntent{.key = GateFixture::keyFor(1), .fingerprint = GateFixture::fingerprint(), .runner = Witness}});
    fixture.collect(fixture.gate.placementChanged({.shouldHold = true}, Now));
    if (row.isHandedOver) {
        fixture.collect(fixture.gate.messageReceived(
            Witness, ReleaseReply{.claim = {.offset = LogOffset{1}, .claim = claim}}, Now));
    }
    fixture.completeAppendAndRead();
    ASSERT_TRUE(fixture.gate.isHolder());
    fixture.request(1);
    EXPECT_EQ(fixture.replies.empty(), row.waits);
    if (row.outcome) {
        fixture.read(Witness,
                     {KeyOutcome{.key = GateFixture::keyFor(1),
                                 .fingerprint = GateFixture::fingerprint(),
                                 .runner = Witness,
                                 .runState = *row.outcome,
                                 .answer = {.status = 201, .body = "seat 7"}}},
                     Now + 300ms);
    } else if (row.waits) {
        fixture.tickUntil(KeyGate::Options{}.maxParkTime);
        EXPECT_TRUE(fixture.replies.empty());
        fixture.tickUntil(KeyGate::Options{}.maxParkTime + 50ms);
    }
    ASSERT_EQ(fixture.replies.size(), 1U);
    if (row.error) {
        EXPECT_EQ(fixture.lastError(), *row.error);
    } else {
        EXPECT_EQ(std::get<StoredAnswer>(fixture.replies.back()).body, "seat 7");
    }
    EXPECT_TRUE(fixture.runs.empty());
}

INSTANTIATE_TEST_SUITE_P(All, EarlierRuns, testing::ValuesIn(EarlierRunRows),
                         [](const auto &info) { return std::string(info.param.name); });

struct KeyTimeRow
{
    const char *description;
    std::chrono::milliseconds age;
    ErrorKind kind;
};

const KeyTimeRow KeyTimeRows[] = {
    {"older than the window", 25h, ErrorKind::KeyExpired},
    {"from a clock far ahead", -5min, ErrorKind::BadIdempotencyKey},
};

class KeyCreationTime : public testing::TestWithParam<KeyTimeRow>
{
};

TEST_P(KeyCreationTime, RejectsKeysOutsideTheWindow)
{
    GateFixture fixture;
    fixture.collect(fixture.gate.requestReceived(
        {.attempt = {.entry = Entry, .number = 1}, .key = Uuid7::make(Now - GetParam().age, 1, 1)}, Now));
    EXPECT_EQ(fixture.lastError(), GetParam().kind) << GetParam().description;
    EXPECT_FALSE(fixture.pendingBatch);
}

INSTANTIATE_TEST_SUITE_P(Table, KeyCreationTime, testing::ValuesIn(KeyTimeRows));

// A key runs twice after an outage: the holder's renewal was logged without the holder seeing it, and a witness of that
// renewal admitted a successor, while the holder still ran keys under the promises for the claim before it. The holder
// therefore needs promises for a claim in flight as well.
TEST(KeyGate, RequiresPromisesForAClaimInFlight)
{
    for (const bool claimInFlightCounts : {true, false}) {
        KeySafeguards safeguards;
        safeguards.claimsInFlightCount = claimInFlightCounts;
        GateFixture fixture(safeguards);
        const auto otherWitness = GateId{.process = ProcessName("w2"), .incarnation = Incarnation{4}};
        fixture.collect(fixture.gate.placementChanged({.shouldHold = true, .witnesses = {otherWitness}}, Now));
        ASSERT_TRUE(fixture.pendingBatch);
        fixture.collect(fixture.gate.appendCompleted(fixture.pendingBatch->serial, false, Now));
        fixture.collect(fixture.gate.logAvailabilityChanged(false, Now));
        fixture.promiseClaims(1);
        fixture.request(1);
        EXPECT_EQ(fixture.runs.size(), claimInFlightCounts ? 0U : 1U);
    }
}

// A key runs twice: its first run met a closed port and was released. The batch with the release was logged twice, the
// second time after the key had been announced again, and so released a key that was running. LedgerReplay tests the
// safeguard; with the safeguard off, the ledger must show the fault.
TEST(KeyLedger, SkipsADuplicateReleaseByItsSerial)
{
    for (const bool duplicatesSkipped : {true, false}) {
        KeySafeguards safeguards;
        safeguards.duplicateBatchesSkipped = duplicatesSkipped;
        GateFixture fixture(safeguards);
        fixture.request(1);
        fixture.completeAppendAndRead();
        fixture.collect(fixture.gate.callCompleted(
            GateFixture::keyFor(1), Error{.kind = ErrorKind::TargetUnreachable, .ran = ExecutionStatus::No}));
        fixture.collect(fixture.gate.tick(Now));
        const auto releaseBatch = fixture.pendingBatch;
        fixture.completeAppendAndRead();
        fixture.request(1);
        fixture.completeAppendAndRead();
        ASSERT_EQ(fixture.runs.size(), 2U);
        fixture.collect(fixture.gate.recordRead(static_cast<LogOffset>(++fixture.offset), releaseBatch, Now));
        EXPECT_EQ(fixture.gate.ledger().find(GateFixture::keyFor(1))->runState,
                  duplicatesSkipped ? RunState::Open : RunState::NotRun);
    }
}

TEST(KeyFrame, RoundTripsAndRejectsTruncation)
{
    const LoggedClaim placed{.offset = LogOffset{4}, .claim = {.id = {Self, 2}, .witnesses = {Witness}, .until = Now}};
    const KeyIntent intent{.key = GateFixture::keyFor(1), .runner = Self};
    const KeyMessage messages[] = {
        ActivateRequest{.claim = {Self, 1}, .until = Now},
        ActivateReply{.claim = {Self, 1}, .until = Now},
        RevokeRequest{.claim = {Self, 1}},
        RevokeReply{.claim = {Self, 1}, .activatedUntil = Now},
        ReleaseRequest{.claim = {Self, 1}, .withOfflineRight = true},
        ReleaseReply{
            .claim = placed, .withOfflineRight = true, .until = Now, .unrecorded = {intent}, .known = {intent}},
    };
    for (const auto &message : messages) {
        const KeyFrame frame{ServiceName("s"), KeyShard{3}, Self, Witness, message};
        const auto bytes = encode(frame);
        const auto decoded = decodeKeyFrame(bytes);
        ASSERT_EQ(errorIn(decoded), nullptr) << errorIn(decoded)->detail;
        EXPECT_EQ(std::get<KeyFrame>(decoded), frame);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            const Bytes truncated(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(length));
            EXPECT_NE(errorIn(decodeKeyFrame(truncated)), nullptr);
        }
    }
}

} // namespace
