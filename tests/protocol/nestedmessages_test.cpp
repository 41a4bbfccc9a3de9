#include "heatherridge_protocol/countsupdate.h"
#include "heatherridge_protocol/crashreportcodec.h"
#include "heatherridge_protocol/demandmessage.h"
#include "heatherridge_protocol/rankmessage.h"
#include "heatherridge_protocol/rulesmessage.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

struct DecoderRow
{
    const char *name;
    bool (*isRefused)(std::string_view bytes);
};

template<auto Decode>
bool isRefusedBy(std::string_view bytes)
{
    return errorIn(Decode(bytes)) != nullptr;
}

const DecoderRow DecoderRows[] = {
    {"CrashReport", isRefusedBy<decodeCrashReport>},       {"CrashRecord", isRefusedBy<decodeCrashRecord>},
    {"CountsUpdate", isRefusedBy<decodeCountsUpdate>},     {"RankStatus", isRefusedBy<decodeRankStatus>},
    {"RankExperts", isRefusedBy<decodeRankExperts>},       {"RankOrder", isRefusedBy<decodeRankOrder>},
    {"OrderReply", isRefusedBy<decodeOrderReply>},         {"RulesRequest", isRefusedBy<decodeRulesRequest>},
    {"RulesResponse", isRefusedBy<decodeRulesResponse>},   {"DemandRequest", isRefusedBy<decodeDemandRequest>},
    {"DemandResponse", isRefusedBy<decodeDemandResponse>},
};

class NestedMessages : public testing::TestWithParam<DecoderRow>
{
};

// Guards against a process that ends because it decodes a deeply nested message or record.
TEST_P(NestedMessages, AreRefused)
{
    constexpr std::size_t depth = 500'000;
    EXPECT_TRUE(GetParam().isRefused(std::string(depth, '\x81') + '\x01')) << "arrays of one element";
    EXPECT_TRUE(GetParam().isRefused(std::string(depth, '\x9f'))) << "arrays without length";
    EXPECT_TRUE(GetParam().isRefused(std::string(depth, '\xc1') + '\x01')) << "tags";
    EXPECT_TRUE(GetParam().isRefused(std::string(depth, '\x5f'))) << "byte strings without length";
}

// Guards against a process that ends because a message or record is shorter than it says.
TEST_P(NestedMessages, AreRefusedIfLargerThanTheirBytes)
{
    EXPECT_TRUE(GetParam().isRefused("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"));
    EXPECT_TRUE(GetParam().isRefused("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff"));
    EXPECT_TRUE(GetParam().isRefused("\x84\x01\x02"));
    EXPECT_TRUE(GetParam().isRefused(""));
}

INSTANTIATE_TEST_SUITE_P(All, NestedMessages, testing::ValuesIn(DecoderRows),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
