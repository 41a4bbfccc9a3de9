#include "logera.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>

using namespace Heatherridge;

namespace
{

enum class ExpectedResult { Unchanged, Advanced, Outdated, Malformed };

ExpectedResult resultOf(const EraCheckResult &result)
{
    return static_cast<ExpectedResult>(result.index());
}

struct EraRow
{
    const char *name;
    const char *previousEra; ///< era in the previous response; empty for none
    const char *eraText;
    std::optional<std::uint64_t> eraAtCall;
    ExpectedResult result;
};

const EraRow EraRows[] = {
    {"First", "", "4", {}, ExpectedResult::Unchanged},
    {"Same", "4", "4", 4, ExpectedResult::Unchanged},
    {"Higher", "4", "5", 4, ExpectedResult::Advanced},
    {"HigherByMoreThanOne", "4", "9", 4, ExpectedResult::Advanced},
    // Guards against a long read that started before the log was restored and is answered late on an old connection.
    {"Lower", "4", "3", 4, ExpectedResult::Outdated},
    // Guards against a request with an offset from before the restore, although the response has the current era.
    {"SameButCalledBefore", "4", "4", 3, ExpectedResult::Outdated},
    {"CalledBeforeTheFirstEra", "4", "4", {}, ExpectedResult::Unchanged},
    {"NoneFromALogWithoutEras", "", "", {}, ExpectedResult::Unchanged},
    {"NoneAfterOne", "4", "", 4, ExpectedResult::Unchanged},
    {"NoneButCalledBefore", "4", "", 3, ExpectedResult::Outdated},
    {"NotANumber", "4", "four", 4, ExpectedResult::Malformed},
    {"Negative", "4", "-5", 4, ExpectedResult::Malformed},
    {"TrailingCharacters", "4", "5 ", 4, ExpectedResult::Malformed},
    {"TooLarge", "4", "99999999999999999999999", 4, ExpectedResult::Malformed},
};

class LogEras : public testing::TestWithParam<EraRow>
{
};

TEST_P(LogEras, ClassifyAResponse)
{
    const auto &row = GetParam();
    LogEra era;
    era.check(row.previousEra, {});
    EXPECT_EQ(resultOf(era.check(row.eraText, row.eraAtCall)), row.result);
}

INSTANTIATE_TEST_SUITE_P(All, LogEras, testing::ValuesIn(EraRows), [](const auto &row) { return row.param.name; });

// Guards against an era that decreases, or that advances on a response that is rejected.
RC_GTEST_PROP(LogEras, NeverDecrease, (const std::vector<std::string> &eraText))
{
    LogEra era;
    for (const auto &eraValue : eraText) {
        const auto before = era.current();
        const auto result = era.check(eraValue, before);
        RC_ASSERT(!before || era.current() >= before);
        const bool mayAdvance = !before || std::holds_alternative<EraAdvanced>(result);
        RC_ASSERT(mayAdvance || era.current() == before);
    }
}

RC_GTEST_PROP(LogEras, AdvanceOnEachHigherNumber, (const std::vector<std::uint16_t> &eraText))
{
    LogEra era;
    std::uint64_t highest = 0;
    for (const std::uint64_t number : eraText) {
        const bool isHigher = era.current() && number > highest;
        const auto result = era.check(std::to_string(number), era.current());
        RC_ASSERT(std::holds_alternative<EraAdvanced>(result) == isHigher);
        highest = std::max(highest, number);
    }
}

} // namespace
