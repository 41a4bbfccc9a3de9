#include "heatherridge_protocol/cborreader.h"
#include "heatherridge_protocol/cborstructure.h"
#include "heatherridge_protocol/controlrecordcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

const ControlRecord Records[] = {
    Publish{.document = DocumentKind::Rules,
            .operation = OperationId("op-1"),
            .basedOn = LogOffset{7},
            .content = WholeDocument{.text = "[workspace.mill]\n"}},
    Publish{.operation = OperationId("op-2"),
            .content = DocumentChange{.put = "[zone.a]\nregion = r\n", .removed = {"target.x", "target.y"}}},
    ClaimRole{.role = RoleName("leader"),
              .claimant = ProcessName("p"),
              .incarnation = Incarnation{UINT64_MAX},
              .replaces = FencingNumber{3}},
    SnapshotTaken{.covers = LogOffset{9}, .digest = Digest{UINT64_MAX}},
    ResetFold{.operation = OperationId("r"), .basedOn = LogOffset{4}, .inventory = "", .rules = ""},
};

class EveryRecord : public testing::TestWithParam<ControlRecord>
{
};

TEST_P(EveryRecord, SurvivesARoundTrip)
{
    const auto decoded = decodeControlRecord(encodeControlRecord(GetParam()));
    ASSERT_TRUE(std::holds_alternative<ControlRecord>(decoded));
    EXPECT_EQ(std::get<ControlRecord>(decoded), GetParam());
}

TEST_P(EveryRecord, IsMalformedWhenAnyFieldIsMissing)
{
    const auto map = nlohmann::json::from_cbor(encodeControlRecord(GetParam()));
    for (const auto &[key, value] : map.items()) {
        auto incompleteMap = map;
        incompleteMap.erase(key);
        const auto decoded = decodeControlRecord(toCbor(incompleteMap));
        ASSERT_TRUE(std::holds_alternative<SkipReason>(decoded)) << key;
        EXPECT_EQ(std::get<SkipReason>(decoded), SkipReason::Malformed) << key;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, EveryRecord, testing::ValuesIn(Records));

struct InvalidRow
{
    const char *description;
    Bytes payload;
    SkipReason reason;
};

const InvalidRow InvalidRows[] = {
    {"empty payload", {}, SkipReason::Malformed},
    {"text instead of a record", {'[', 'z', ']'}, SkipReason::Malformed},
    {"arrays nested deep enough to exhaust the stack", Bytes(2'000'000, 0x81), SkipReason::Malformed},
    {"chunked texts nested deep enough to exhaust the stack", Bytes(2'000'000, 0x7F), SkipReason::Malformed},
    {"chunked bytes nested deep enough to exhaust the stack", Bytes(2'000'000, 0x5F), SkipReason::Malformed},
    {"an array longer than any available memory",
     {0x9B, 0x7F, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF},
     SkipReason::Malformed},
    {"larger than the maximum record size", Bytes(MaxControlRecordBytes + 1, 0), SkipReason::Oversized},
    {"version of a later release", toCbor({{"v", 2}, {"kind", "vote"}}), SkipReason::UnknownVersion},
    {"an unknown kind", toCbor({{"v", 1}, {"kind", "vote"}}), SkipReason::Malformed},
};

class InvalidRecord : public testing::TestWithParam<InvalidRow>
{
};

// An operator's script appends bytes that are not a valid record. If a reader crashed on them, all processes would
// crash at the same offset, and again after each restart: a single append would take down the whole system.
TEST_P(InvalidRecord, IsSkippedForTheExpectedReason)
{
    const auto decoded = decodeControlRecord(GetParam().payload);
    ASSERT_TRUE(std::holds_alternative<SkipReason>(decoded)) << GetParam().description;
    EXPECT_EQ(std::get<SkipReason>(decoded), GetParam().reason) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidRecord, testing::ValuesIn(InvalidRows));

RC_GTEST_PROP(ControlRecordCodec, DamagedBytesNeverThrow, ())
{
    auto payload = encodeControlRecord(Records[*rc::gen::inRange<std::size_t>(0, std::size(Records))]);
    const auto damagedBytes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < damagedBytes; ++i) {
        payload.at(*rc::gen::inRange<std::size_t>(0, payload.size())) = *rc::gen::arbitrary<std::uint8_t>();
    }
    decodeControlRecord(payload);
}

RC_GTEST_PROP(CborStructure, AcceptsEncoderOutput, (const std::map<std::string, std::vector<std::uint32_t>> &map))
{
    RC_ASSERT(isPlainCbor(toCbor(nlohmann::json(map))));
}

} // namespace
