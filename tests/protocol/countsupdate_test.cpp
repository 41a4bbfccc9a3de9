#include "heatherridge_protocol/countsupdate.h"
#include "heatherridge_state/base/randomsource.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

const TargetName RankTarget("r");

/** Counts of a rank that grow as the engine works. */
class GrowingRankCounts
{
public:
    explicit GrowingRankCounts(std::uint64_t seed, std::size_t size = 48)
        : m_random(seed)
    {
        m_counts = {.epoch = 3, .selectionCounts = std::vector<double>(size, 0)};
    }

    /** Each grows by less than @p bound. */
    const RankCounts &grow(std::uint64_t maxGrowth)
    {
        for (auto &count : m_counts.selectionCounts) {
            count += static_cast<double>(m_random.below(maxGrowth));
        }
        return m_counts;
    }

    /** The group has formed anew. */
    void advanceEpoch()
    {
        ++m_counts.epoch;
    }

private:
    SeededRandom m_random;
    RankCounts m_counts;
};

/** What arrives of @p reading. */
CountsUpdate encodeAndDecode(const CountsUpdate &reading)
{
    auto decoded = decodeCountsUpdate(encode(reading));
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
    const auto reading = decodeCountsUpdate(bytes);
    const bool isDecodedOrRejected = errorIn(reading) == nullptr || errorIn(reading)->kind == ErrorKind::MalformedFrame;
    RC_ASSERT(isDecodedOrRejected);
}

struct GrowthRow
{
    const char *description;
    std::uint64_t maxGrowth; ///< of what a count grows by between two readings
    double maxError; ///< of a count as it is known after each reading
};

const GrowthRow GrowthRows[] = {
    {"what fits a byte is told exactly", 256, 0},
    {"more is told in steps, and never adds up to an error", 4'000, 16},
    {"an engine that has worked on alone for long", 1'000'000, 4'096},
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
    for (int reading = 0; reading < 100; ++reading) {
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

// Callers' streams wait behind what their gateway reads of its engines: 192 ranks told 3,072 counts each in whole,
// three bytes and more a count, 20 MB a second on a link of 12. What has grown since takes a byte a count.
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
    {"an answer is lost: the next one tells since the one before", Disturbance::ResponseLost},
    {"the process beside the rank starts anew and knows no mark", Disturbance::EncoderRestarts},
    {"the group forms anew", Disturbance::GroupReforms},
    {"the engine starts anew under its name: its counts begin at nothing", Disturbance::EngineRestarts},
    {"another run of the engine is asked for", Disturbance::DifferentEngineRun},
    {"so many others ask that the last reading is forgotten", Disturbance::ManyOtherRequests},
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

// Two answers cross: growth that adds to another reading than the last is not taken, and all counts are asked for.
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
