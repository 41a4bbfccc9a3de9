#include "logera.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>

using namespace Heatherridge;

namespace
{

enum class Verdict { Unchanged, Risen, Passed, Malformed };

Verdict verdictOf(const EraVerdict &verdict)
{
    return static_cast<Verdict>(verdict.index());
}

struct EraRow
{
    const char *name;
    const char *first; ///< told by an answer before; empty for none
    const char *told;
    std::optional<std::uint64_t> atCall;
    Verdict verdict;
};

const EraRow EraRows[] = {
    {"TheFirst", "", "4", {}, Verdict::Unchanged},
    {"TheSame", "4", "4", 4, Verdict::Unchanged},
    {"Higher", "4", "5", 4, Verdict::Risen},
    {"HigherByMore", "4", "9", 4, Verdict::Risen},
    // Guards against a long read that began before the log came back and is answered late on an old connection.
    {"Lower", "4", "3", 4, Verdict::Passed},
    // Guards against an offset of the lost time in the question, though the answer is of now.
    {"TheSameButAskedBefore", "4", "4", 3, Verdict::Passed},
    {"AskedBeforeAnyWasTold", "4", "4", {}, Verdict::Unchanged},
    {"NoneOfALogThatTellsNone", "", "", {}, Verdict::Unchanged},
    {"NoneAfterOne", "4", "", 4, Verdict::Unchanged},
    {"NoneButAskedBefore", "4", "", 3, Verdict::Passed},
    {"NoNumber", "4", "four", 4, Verdict::Malformed},
    {"LessThanNothing", "4", "-5", 4, Verdict::Malformed},
    {"SomethingBehindIt", "4", "5 ", 4, Verdict::Malformed},
    {"TooLarge", "4", "99999999999999999999999", 4, Verdict::Malformed},
};

class Eras : public testing::TestWithParam<EraRow>
{
};

TEST_P(Eras, DecideWhetherAnAnswerIsBelieved)
{
    const auto &row = GetParam();
    LogEra era;
    era.judge(row.first, {});
    EXPECT_EQ(verdictOf(era.judge(row.told, row.atCall)), row.verdict);
}

INSTANTIATE_TEST_SUITE_P(All, Eras, testing::ValuesIn(EraRows), [](const auto &row) { return row.param.name; });

// Guards against an era that falls, or that rises by an answer which is not believed.
RC_GTEST_PROP(Eras, NeverFallWhateverIsTold, (const std::vector<std::string> &told))
{
    LogEra era;
    for (const auto &text : told) {
        const auto before = era.current();
        const auto verdict = era.judge(text, before);
        RC_ASSERT(!before || era.current() >= before);
        const bool mayRise = !before || std::holds_alternative<EraRisen>(verdict);
        RC_ASSERT(mayRise || era.current() == before);
    }
}

RC_GTEST_PROP(Eras, RiseWithEachHigherNumber, (const std::vector<std::uint16_t> &told))
{
    LogEra era;
    std::uint64_t highest = 0;
    for (const std::uint64_t number : told) {
        const bool isHigher = era.current() && number > highest;
        const auto verdict = era.judge(std::to_string(number), era.current());
        RC_ASSERT(std::holds_alternative<EraRisen>(verdict) == isHigher);
        highest = std::max(highest, number);
    }
}

} // namespace
