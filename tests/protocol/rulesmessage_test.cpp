#include "heatherridge_protocol/cborvalue.h"
#include "heatherridge_protocol/rulesmessage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;
using nlohmann::json;

namespace
{

const ZoneDrains Drains{.position = 12, .zones = {ZoneName("z1"), ZoneName("z2")}};
const RulesRecord Record{.version = 7, .key = "config", .value = std::string("{\"a\":\0 1}", 9)};

/** Returns a request's fields as they are encoded, with those of Record. */
json requestFields()
{
    return json::from_cbor(encode(RulesRequest{.version = 7, .record = Record, .drains = Drains}));
}

TEST(RulesMessages, AreDecodedAsEncoded)
{
    for (const auto &request :
         {RulesRequest{}, RulesRequest{.version = 3}, RulesRequest{.version = 7, .record = Record},
          RulesRequest{.version = 7, .drains = ZoneDrains{}}, RulesRequest{.drains = Drains}}) {
        EXPECT_EQ(std::get<RulesRequest>(decodeRulesRequest(encode(request))), request);
    }
    for (const auto &response : {RulesResponse{}, RulesResponse{.wantsRecord = true}, RulesResponse{.record = Record},
                                 RulesResponse{.hasNewDrains = true}, RulesResponse{.drains = Drains}}) {
        EXPECT_EQ(std::get<RulesResponse>(decodeRulesResponse(encode(response))), response);
    }
}

struct MalformedRow
{
    const char *name;
    void (*change)(json &fields);
};

const MalformedRow MalformedRows[] = {
    {"OtherFormat", [](json &fields) { fields[0] = RulesFormat + 1; }},
    {"NegativeVersion", [](json &fields) { fields[1] = -1; }},
    {"FieldTooMany", [](json &fields) { fields.push_back(1); }},
    {"RecordWithoutVersion", [](json &fields) { fields[2][0] = 0U; }},
    {"RecordWithoutKey", [](json &fields) { fields[2][1] = ""; }},
    {"RecordAsText", [](json &fields) { fields[2][2] = "{}"; }},
    {"RecordCutShort",
     [](json &fields) {
         auto bytes = fields[2][2].get_binary();
         bytes.pop_back();
         fields[2][2] = json::binary(bytes);
     }},
    {"RecordTooLarge",
     [](json &fields) { fields[2][2] = json::binary(std::vector<std::uint8_t>(MaxRulesRecordBytes + 1)); }},
    {"DrainsWithoutPosition", [](json &fields) { fields[3][0] = nullptr; }},
    {"ZoneWithoutName", [](json &fields) { fields[3][1][0] = ""; }},
    {"ZoneNameTooLong", [](json &fields) { fields[3][1][0] = std::string(MaxDrainedZoneBytes + 1, 'z'); }},
    {"ZoneNamedTwice", [](json &fields) { fields[3][1][0] = fields[3][1][1]; }},
    {"TooManyZones",
     [](json &fields) {
         for (std::size_t number = 0; number <= MaxDrainedZones; ++number) {
             fields[3][1].push_back("zone " + std::to_string(number));
         }
     }},
    {"OtherChecksum", [](json &fields) { fields[2][3] = 1U; }},
};

class RulesMessagesOutsideTheLimits : public testing::TestWithParam<MalformedRow>
{
};

// Guards against rules that are put in force although they arrived damaged or in part.
TEST_P(RulesMessagesOutsideTheLimits, AreRejected)
{
    auto fields = requestFields();
    GetParam().change(fields);
    const auto decoded = decodeRulesRequest(encodeCbor(fields));
    ASSERT_NE(errorIn(decoded), nullptr);
    EXPECT_EQ(errorIn(decoded)->kind, ErrorKind::MalformedFrame);
}

INSTANTIATE_TEST_SUITE_P(All, RulesMessagesOutsideTheLimits, testing::ValuesIn(MalformedRows),
                         [](const auto &info) { return info.param.name; });

// Guards against bytes that end the process that reads them.
RC_GTEST_PROP(RulesMessages, AreReadFromAnyBytes, (const std::string &bytes))
{
    decodeRulesRequest(bytes);
    decodeRulesResponse(bytes);
}

} // namespace
