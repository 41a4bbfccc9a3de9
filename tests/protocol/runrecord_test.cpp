#include "heatherridge_protocol/cborvalue.h"
#include "heatherridge_protocol/runrecordcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;
using nlohmann::json;

namespace
{

const RunRecord Record{.run = Incarnation(UINT64_MAX),
                       .startedAt = WallTime(std::chrono::milliseconds(1'796'000'000'123)),
                       .state = RunState::Stopping,
                       .use = {.peakMemory = 1, .memoryLimit = 2, .descriptors = 3, .descriptorLimit = UINT64_MAX},
                       .handlerFailures = 4,
                       .lastFailure = "assign: File exists \xff",
                       .version = "1.2.3"};

/** The fields of a record without those that a case appends. */
json fields()
{
    return json::array({1U, 7U, 1'000U, 0U, 1U, 2U, 3U, 4U, 0U, "", "1"});
}

json withField(std::size_t index, const json &value)
{
    auto changed = fields();
    changed.at(index) = value;
    return changed;
}

TEST(RunRecords, SurviveARoundTrip)
{
    EXPECT_EQ(std::get<RunRecord>(decodeRunRecord(encodeRunRecord(Record))), Record);
    EXPECT_EQ(std::get<RunRecord>(decodeRunRecord(encodeCbor(fields()))).run, Incarnation(7));
}

// Guards against a record that its reader rejects for its size.
TEST(RunRecords, CutLongTexts)
{
    const RunRecord longRecord{.lastFailure = std::string(10'000, 'x'), .version = std::string(10'000, 'y')};
    const auto bytes = encodeRunRecord(longRecord);
    EXPECT_LE(bytes.size(), MaxRunRecordBytes);
    const auto decoded = std::get<RunRecord>(decodeRunRecord(bytes));
    EXPECT_EQ(decoded.lastFailure, std::string(MaxFailureReasonBytes, 'x'));
    EXPECT_EQ(decoded.version, std::string(MaxVersionBytes, 'y'));
}

struct OddRow
{
    const char *name;
    std::string bytes;
};

std::string surplusField()
{
    auto changed = fields();
    changed.push_back(0U);
    return encodeCbor(changed);
}

std::string missingField()
{
    auto changed = fields();
    changed.erase(changed.size() - 1);
    return encodeCbor(changed);
}

const OddRow OddRows[] = {
    {"Empty", ""},
    {"Text", "not a record"},
    {"Cut", encodeRunRecord(Record).substr(0, 20)},
    {"Followed", encodeRunRecord(Record) + "x"},
    {"Map", encodeCbor(json::object())},
    {"NoFields", encodeCbor(json::array())},
    {"SurplusField", surplusField()},
    {"MissingField", missingField()},
    {"OtherFormat", encodeCbor(withField(0, 2U))},
    {"NegativeRun", encodeCbor(withField(1, -1))},
    {"FractionalRun", encodeCbor(withField(1, 1.5))},
    {"BooleanRun", encodeCbor(withField(1, true))},
    {"TimeBeyondYear9999", encodeCbor(withField(2, 253'402'300'800'000U))},
    {"UnknownState", encodeCbor(withField(3, 3U))},
    {"NegativeMemory", encodeCbor(withField(4, -1))},
    {"TextAsDescriptors", encodeCbor(withField(6, "3"))},
    {"LongFailure", encodeCbor(withField(9, std::string(MaxFailureReasonBytes + 1, 'x')))},
    {"NumberAsFailure", encodeCbor(withField(9, 1U))},
    {"LongVersion", encodeCbor(withField(10, std::string(MaxVersionBytes + 1, 'x')))},
    {"DeepArrays", std::string(200'000, '\x81')},
};

class OddRunRecords : public testing::TestWithParam<OddRow>
{
};

// Guards against a process that believes a record that is damaged or of another version, or ends by it.
TEST_P(OddRunRecords, AreRejected)
{
    const auto decoded = decodeRunRecord(GetParam().bytes);
    const auto *error = errorIn(decoded);
    ASSERT_NE(error, nullptr);
    EXPECT_EQ(error->kind, ErrorKind::MalformedFrame);
}

INSTANTIATE_TEST_SUITE_P(All, OddRunRecords, testing::ValuesIn(OddRows),
                         [](const auto &info) { return std::string(info.param.name); });

RC_GTEST_PROP(RunRecords, AcceptArbitraryBytes, (const std::string &bytes))
{
    decodeRunRecord(bytes);
}

} // namespace
