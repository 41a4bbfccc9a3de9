#include "heatherridge_protocol/countsreading.h"
#include "heatherridge_state/base/randomsource.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

const TargetName Rank("r");

/** Counts of a rank that grow as the engine works. */
class GrowingCounts
{
public:
    explicit GrowingCounts(std::uint64_t seed, std::size_t size = 48)
        : m_random(seed)
    {
        m_counts = {.epoch = 3, .selectionCounts = std::vector<double>(size, 0)};
    }

    /** Each grows by less than @p bound. */
    const RankCounts &grow(std::uint64_t bound)
    {
        for (auto &count : m_counts.selectionCounts) {
            count += static_cast<double>(m_random.below(bound));
        }
        return m_counts;
    }

    /** The group has formed anew. */
    void formAnew()
    {
        ++m_counts.epoch;
    }

private:
    SeededRandom m_random;
    RankCounts m_counts;
};

/** What arrives of @p reading. */
CountsReading overTheWire(const CountsReading &reading)
{
    auto back = decodeCountsReading(encode(reading));
    return std::get<CountsReading>(std::move(back));
}

RC_GTEST_PROP(CountsReadings, ComeBackAsTheyWere, (std::vector<std::uint8_t> steps, std::uint32_t number))
{
    const CountsReading growth{
        .epoch = number, .mark = 7, .content = CountsGrowth{.since = number, .shift = number % 20, .steps = steps}};
    RC_ASSERT(overTheWire(growth) == growth);
    const CountsReading whole{
        .epoch = number, .mark = 7, .content = WholeCounts{.chosen = {steps.begin(), steps.end()}}};
    RC_ASSERT(overTheWire(whole) == whole);
}

RC_GTEST_PROP(CountsReadings, HostileBytesAreRefused, (const std::string &bytes))
{
    const auto reading = decodeCountsReading(bytes);
    const bool isReadOrRefused = errorIn(reading) == nullptr || errorIn(reading)->kind == ErrorKind::MalformedFrame;
    RC_ASSERT(isReadOrRefused);
}

struct GrowthRow
{
    const char *story;
    std::uint64_t bound; ///< of what a count grows by between two readings
    double error; ///< of a count as it is known after each reading
};

const GrowthRow GrowthRows[] = {
    {"what fits a byte is told exactly", 256, 0},
    {"more is told in steps, and never adds up to an error", 4'000, 16},
    {"an engine that has worked on alone for long", 1'000'000, 4'096},
};

class ToldCounts : public testing::TestWithParam<GrowthRow>
{
};

TEST_P(ToldCounts, AreKnownWithinOneStepHoweverOftenTheyGrow)
{
    const auto &row = GetParam();
    GrowingCounts engine(5);
    CountsTeller teller(100);
    CountsListener listener;
    for (int reading = 0; reading < 100; ++reading) {
        const auto &counts = engine.grow(row.bound);
        const auto known = listener.take(overTheWire(teller.tell(Rank, counts, listener.mark())));
        ASSERT_TRUE(known) << row.story;
        for (std::size_t index = 0; index < counts.selectionCounts.size(); ++index) {
            ASSERT_LE(known->selectionCounts[index], counts.selectionCounts[index]) << row.story;
            ASSERT_GE(known->selectionCounts[index], counts.selectionCounts[index] - row.error) << row.story;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All, ToldCounts, testing::ValuesIn(GrowthRows));

// Callers' streams wait behind what their gateway reads of its engines: 192 ranks told 3,072 counts each in whole,
// three bytes and more a count, 20 MB a second on a link of 12. What has grown since takes a byte a count.
TEST(CountsReadings, TakeAByteACount)
{
    constexpr std::size_t size = 3'072;
    GrowingCounts engine(7, size);
    CountsTeller teller(100);
    CountsListener listener;
    listener.take(teller.tell(Rank, engine.grow(1'000'000), listener.mark()));
    const auto bytes = encode(teller.tell(Rank, engine.grow(400), listener.mark()));
    EXPECT_LE(bytes.size(), size + 64);
}

enum class Mishap {
    AnswerLost,
    TellerStartsAnew,
    GroupFormsAnew,
    EngineStartsAnew,
    OtherRunOfTheEngine,
    ManyOthersAsk,
};

struct MishapRow
{
    const char *story;
    Mishap mishap;
};

const MishapRow MishapRows[] = {
    {"an answer is lost: the next one tells since the one before", Mishap::AnswerLost},
    {"the process beside the rank starts anew and knows no mark", Mishap::TellerStartsAnew},
    {"the group forms anew", Mishap::GroupFormsAnew},
    {"the engine starts anew under its name: its counts begin at nothing", Mishap::EngineStartsAnew},
    {"another run of the engine is asked for", Mishap::OtherRunOfTheEngine},
    {"so many others ask that the last reading is forgotten", Mishap::ManyOthersAsk},
};

class DisturbedReadings : public testing::TestWithParam<MishapRow>
{
};

TEST_P(DisturbedReadings, NeverAddUpToCountsThatNeverWere)
{
    const auto &row = GetParam();
    GrowingCounts engine(9);
    auto teller = std::make_unique<CountsTeller>(100);
    CountsListener listener;
    auto target = Rank;
    listener.take(teller->tell(target, engine.grow(50), listener.mark()));
    switch (row.mishap) {
    case Mishap::AnswerLost:
        teller->tell(target, engine.grow(50), listener.mark());
        break;
    case Mishap::TellerStartsAnew:
        teller = std::make_unique<CountsTeller>(9'000);
        break;
    case Mishap::GroupFormsAnew:
        engine.formAnew();
        break;
    case Mishap::EngineStartsAnew:
        engine = GrowingCounts(1);
        break;
    case Mishap::OtherRunOfTheEngine:
        target = TargetName("other");
        break;
    case Mishap::ManyOthersAsk:
        for (std::size_t other = 0; other <= CountsTeller::Remembered; ++other) {
            teller->tell(target, engine.grow(50), 0);
        }
        break;
    }
    const auto &counts = engine.grow(50);
    const auto known = listener.take(overTheWire(teller->tell(target, counts, listener.mark())));
    ASSERT_TRUE(known) << row.story;
    EXPECT_EQ(known->epoch, counts.epoch) << row.story;
    EXPECT_EQ(known->selectionCounts, counts.selectionCounts) << row.story;
}

INSTANTIATE_TEST_SUITE_P(All, DisturbedReadings, testing::ValuesIn(MishapRows));

// Two answers cross: growth that adds to another reading than the last is not taken, and all counts are asked for.
TEST(CountsReadings, ThatAddToAnotherOneAreNotTaken)
{
    GrowingCounts engine(9);
    CountsTeller teller(100);
    CountsListener listener;
    listener.take(teller.tell(Rank, engine.grow(50), listener.mark()));
    const auto asked = listener.mark();
    const auto late = teller.tell(Rank, engine.grow(50), asked);
    ASSERT_TRUE(listener.take(teller.tell(Rank, engine.grow(50), asked)));
    EXPECT_FALSE(listener.take(late));
    EXPECT_EQ(listener.mark(), 0U);
}

} // namespace
