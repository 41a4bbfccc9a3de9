#include "heatherridge_protocol/rankmessage.h"
#include "heatherridge_state/base/randomsource.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

struct LayoutRow
{
    const char *description;
    std::size_t sets;
    std::size_t ranks;
    std::size_t places;
    std::uint64_t experts;
    std::size_t maxBytes; ///< maximum size of the encoded order
};

const LayoutRow LayoutRows[] = {
    {"a small model", 6, 8, 11, 64, 700},
    // Without the compact encoding, each map switch sent 96 orders of 10 kB over the link that carries callers'
    // streams.
    {"a group of 96 ranks", 16, 96, 3, 192, 6'400},
    {"expert numbers above one byte", 2, 4, 3, 60'000, 100},
    {"more places than fit in a byte", 1, 2, 300, 400, 3'000},
    {"ranks without experts", 3, 5, 0, 1, 150},
    {"empty layout", 0, 0, 0, 1, 100},
};

class PrepareOrders : public testing::TestWithParam<LayoutRow>
{
};

TEST_P(PrepareOrders, EncodeLayoutsCompactly)
{
    const auto &row = GetParam();
    SeededRandom random(3);
    ExpertLayout layout(row.sets, SetLayout(row.ranks));
    for (auto &set : layout) {
        for (auto &experts : set) {
            for (std::size_t place = 0; place < row.places; ++place) {
                experts.push_back(static_cast<std::uint16_t>(random.below(row.experts)));
            }
        }
    }
    const auto bytes = encode(RankOrderMessage{
        .target = TargetName("r"), .epoch = 4, .order = PrepareMap{.map = MapNumber{7}, .layout = layout}});
    EXPECT_LE(bytes.size(), row.maxBytes) << row.description;
    const auto decoded = decodeRankOrder(bytes);
    ASSERT_EQ(errorIn(decoded), nullptr) << row.description;
    const auto &prepare = std::get<PrepareMap>(std::get<RankOrderMessage>(decoded).order);
    EXPECT_EQ(prepare.map, MapNumber{7}) << row.description;
    EXPECT_EQ(prepare.layout, layout) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, PrepareOrders, testing::ValuesIn(LayoutRows));

RC_GTEST_PROP(PrepareOrders, WithDamagedBytesAreDecodedOrRejected, (std::uint32_t seed))
{
    SeededRandom random(seed);
    const std::vector<std::uint16_t> two{1, 2};
    const std::vector<std::uint16_t> one{3};
    const ExpertLayout layout{SetLayout{two, one}};
    auto bytes = encode(RankOrderMessage{
        .target = TargetName("r"), .epoch = 4, .order = PrepareMap{.map = MapNumber{7}, .layout = layout}});
    bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    bytes.resize(bytes.size() - random.below(2));
    const auto decoded = decodeRankOrder(bytes);
    const bool isDecodedOrRejected = errorIn(decoded) == nullptr || errorIn(decoded)->kind == ErrorKind::MalformedFrame;
    RC_ASSERT(isDecodedOrRejected);
}

} // namespace
