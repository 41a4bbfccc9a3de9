#include "heatherridge_protocol/countsupdate.h"
#include "heatherridge_state/base/randomsource.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

const TargetName RankTarget("r");

/** Simulates the counts of a rank, which increase while its engine runs. */
class GrowingRankCounts
{
public:
    explicit GrowingRankCounts(std::uint64_t seed, std::size_t size = 48)
        : m_random(seed)
    {
        m_counts = {.epoch = 3, .selectionCounts = std::vector<double>(size, 0)};
    }

    /** Increases each count by a random number below @p maxGrowth. */
    const RankCounts &grow(std::uint64_t maxGrowth)
    {
        for (auto &count : m_counts.selectionCounts) {
            count += static_cast<double>(m_random.below(maxGrowth));
        }
        return m_counts;
    }

    /** Simulates that the group has re-formed. */
    void advanceEpoch()
    {
        ++m_counts.epoch;
    }

private:
    SeededRandom m_random;
    RankCounts m_counts;
};

/** Returns @p update after an encoding and decoding round trip. */
CountsUpdate encodeAndDecode(const CountsUpdate &update)
{
    auto decoded = decodeCountsUpdate(encode(update));
    return std::get<CountsUpdate>(std::move(decoded));
}

RC_GTEST_PROP(CountsUpdates, SurviveARoundTrip, (std::vector<std::uint8_t> steps, std::uint32_t number))
{
    const CountsUpdate growth{
        .epoch = number, .id = 7, .content = CountsDelta{.baseId = number, .shift = number % 20, .steps = steps}};
    RC_ASSERT(encodeAndDecode(growth) == growth);
    const CountsUpdate whole{.epoch = number, .id = 7, .content = FullCounts{.counts = {steps.begin(), steps.end()}}};
    RC_ASSERT(encodeAndDecode(whole) == whole);
}

RC_GTEST_PROP(CountsUpdates, MalformedBytesAreRejected, (const std::string &bytes))
{
    const auto update = decodeCountsUpdate(bytes);
    const bool isDecodedOrRejected = errorIn(update) == nullptr || errorIn(update)->kind == ErrorKind::MalformedFrame;
    RC_ASSERT(isDecodedOrRejected);
}

struct GrowthRow
{
    const char *description;
    std::uint64_t maxGrowth; ///< upper bound of a count's increase between two updates
    double maxError; ///< maximum difference of a decoded count after each update
};

const GrowthRow GrowthRows[] = {
    {"increases that fit in a byte are exact", 256, 0},
    {"larger increases are quantized without accumulating an error", 4'000, 16},
    {"an engine that ran for a long time between updates", 1'000'000, 4'096},
};

class DecodedCounts : public testing::TestWithParam<GrowthRow>
{
};

TEST_P(DecodedCounts, StayWithinOneStepOfTheEngineCounts)
{
    const auto &row = GetParam();
    GrowingRankCounts engineCounts(5);
    CountsDeltaEncoder encoder(100);
    CountsDeltaDecoder decoder;
    for (int round = 0; round < 100; ++round) {
        const auto &counts = engineCounts.grow(row.maxGrowth);
        const auto decoded = decoder.apply(encodeAndDecode(encoder.createUpdate(RankTarget, counts, decoder.lastId())));
        ASSERT_TRUE(decoded) << row.description;
        for (std::size_t index = 0; index < counts.selectionCounts.size(); ++index) {
            ASSERT_LE(decoded->selectionCounts[index], counts.selectionCounts[index]) << row.description;
            ASSERT_GE(decoded->selectionCounts[index], counts.selectionCounts[index] - row.maxError) << row.description;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All, DecodedCounts, testing::ValuesIn(GrowthRows));

// Guards against counts that saturate the gateway's link and delay callers' streams: 192 ranks that sent 3,072 complete
// counts each, at three bytes or more per count, used 20 MB/s on a link of 12 MB/s. Increases take one byte per count.
TEST(CountsUpdates, TakeOneBytePerCount)
{
    constexpr std::size_t size = 3'072;
    GrowingRankCounts engineCounts(7, size);
    CountsDeltaEncoder encoder(100);
    CountsDeltaDecoder decoder;
    decoder.apply(encoder.createUpdate(RankTarget, engineCounts.grow(1'000'000), decoder.lastId()));
    const auto bytes = encode(encoder.createUpdate(RankTarget, engineCounts.grow(400), decoder.lastId()));
    EXPECT_LE(bytes.size(), size + 64);
}

enum class Disturbance {
    ResponseLost,
    EncoderRestarts,
    GroupReforms,
    EngineRestarts,
    DifferentEngineRun,
    ManyOtherRequests,
};

struct DisturbanceRow
{
    const char *description;
    Disturbance disturbance;
};

const DisturbanceRow DisturbanceRows[] = {
    {"a response is lost: the next one is based on the update before it", Disturbance::ResponseLost},
    {"the sidecar process restarts and recognizes no earlier id", Disturbance::EncoderRestarts},
    {"the group re-forms in a new epoch", Disturbance::GroupReforms},
    {"the engine restarts under the same name: its counts start at zero", Disturbance::EngineRestarts},
    {"another run of the engine is requested", Disturbance::DifferentEngineRun},
    {"so many other requests that the last update is evicted", Disturbance::ManyOtherRequests},
};

class DisturbedUpdates : public testing::TestWithParam<DisturbanceRow>
{
};

TEST_P(DisturbedUpdates, NeverYieldWrongCounts)
{
    const auto &row = GetParam();
    GrowingRankCounts engineCounts(9);
    auto encoder = std::make_unique<CountsDeltaEncoder>(100);
    CountsDeltaDecoder decoder;
    auto target = RankTarget;
    decoder.apply(encoder->createUpdate(target, engineCounts.grow(50), decoder.lastId()));
    switch (row.disturbance) {
    case Disturbance::ResponseLost:
        encoder->createUpdate(target, engineCounts.grow(50), decoder.lastId());
        break;
    case Disturbance::EncoderRestarts:
        encoder = std::make_unique<CountsDeltaEncoder>(9'000);
        break;
    case Disturbance::GroupReforms:
        engineCounts.advanceEpoch();
        break;
    case Disturbance::EngineRestarts:
        engineCounts = GrowingRankCounts(1);
        break;
    case Disturbance::DifferentEngineRun:
        target = TargetName("other");
        break;
    case Disturbance::ManyOtherRequests:
        for (std::size_t other = 0; other <= CountsDeltaEncoder::MaxHistory; ++other) {
            encoder->createUpdate(target, engineCounts.grow(50), 0);
        }
        break;
    }
    const auto &counts = engineCounts.grow(50);
    const auto decoded = decoder.apply(encodeAndDecode(encoder->createUpdate(target, counts, decoder.lastId())));
    ASSERT_TRUE(decoded) << row.description;
    EXPECT_EQ(decoded->epoch, counts.epoch) << row.description;
    EXPECT_EQ(decoded->selectionCounts, counts.selectionCounts) << row.description;
}

INSTANTIATE_TEST_SUITE_P(All, DisturbedUpdates, testing::ValuesIn(DisturbanceRows));

// Two responses overtake each other: an increase based on an update other than the last one is rejected, and the
// complete counts are requested next.
TEST(CountsUpdates, WithAnotherBaseAreRejected)
{
    GrowingRankCounts engineCounts(9);
    CountsDeltaEncoder encoder(100);
    CountsDeltaDecoder decoder;
    decoder.apply(encoder.createUpdate(RankTarget, engineCounts.grow(50), decoder.lastId()));
    const auto requestedId = decoder.lastId();
    const auto lateUpdate = encoder.createUpdate(RankTarget, engineCounts.grow(50), requestedId);
    ASSERT_TRUE(decoder.apply(encoder.createUpdate(RankTarget, engineCounts.grow(50), requestedId)));
    EXPECT_FALSE(decoder.apply(lateUpdate));
    EXPECT_EQ(decoder.lastId(), 0U);
}

} // namespace
