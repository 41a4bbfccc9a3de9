#include "heatherridge_state/decisions/dutyeligibility.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

const SteadyTime Start = SteadyTime{} + 1h;
constexpr DutyInput NoAnswer{.ownSize = 0.13};
constexpr DutyInput Watch{.isKnown = true, .ownSize = 0.13};
constexpr DutyInput Small{.isShared = true, .isKnown = true, .ownSize = 0.13, .largestOther = 0.5};
constexpr DutyInput Large{.isShared = true, .isKnown = true, .ownSize = 0.5, .largestOther = 0.5};
constexpr DutyInput CutOff{.isShared = true, .ownSize = 0.13};
constexpr Duties None{};
constexpr Duties All{.byAll = true};
constexpr Duties LargeOnly{.byLarge = true};
constexpr Duties UnattendedOnly{.byAllIfUnattended = true};

struct Phase
{
    milliseconds duration;
    DutyInput input;
    Duties atBegin; ///< at the first call of the phase
    Duties atEnd; ///< at its last call
};

struct DutyRow
{
    const char *name;
    bool exchangesDemand;
    std::vector<Phase> phases;
};

const DutyRow DutyRows[] = {
    {"NoExchange", false, {{5s, NoAnswer, All, All}}},
    {"NoAnswer", true, {{1s, NoAnswer, None, None}, {5s, NoAnswer, All, All}}},
    {"AnswerBeforeTheWaitEnds", true, {{200ms, NoAnswer, None, None}, {5s, Watch, All, All}}},
    {"SmallFromTheStart", true, {{200ms, NoAnswer, None, None}, {9s, Small, UnattendedOnly, UnattendedOnly}}},
    {"LargeFromTheStart", true, {{200ms, NoAnswer, None, None}, {9s, Large, LargeOnly, LargeOnly}}},
    {"BecomesSharedAndIsSmall",
     true,
     {{1s, Watch, All, All},
      {4s, Small, {.byAll = true, .byAllIfUnattended = true}, {.byAll = true, .byAllIfUnattended = true}},
      {1s, Small, UnattendedOnly, UnattendedOnly}}},
    {"BecomesSharedAndIsLarge",
     true,
     {{1s, Watch, All, All},
      {4s, Large, {.byAll = true, .byLarge = true}, {.byAll = true, .byLarge = true}},
      {1s, Large, LargeOnly, LargeOnly}}},
    {"IsSharedNoMore",
     true,
     {{1s, Large, LargeOnly, LargeOnly},
      {4s, Watch, {.byAll = true, .byLarge = true}, {.byAll = true, .byLarge = true}},
      {1s, Watch, All, All}}},
    {"LargerOneStarts", true, {{1s, Large, LargeOnly, LargeOnly}, {1s, Small, UnattendedOnly, UnattendedOnly}}},
    {"AllLargeOnesGone",
     true,
     {{1s, Small, UnattendedOnly, UnattendedOnly},
      {2s, Large, UnattendedOnly, UnattendedOnly},
      {1s, Large, LargeOnly, LargeOnly}}},
    {"LargeForAMomentOnly",
     true,
     {{1s, Small, UnattendedOnly, UnattendedOnly},
      {1'500ms, Large, UnattendedOnly, UnattendedOnly},
      {20ms, Small, UnattendedOnly, UnattendedOnly},
      {1'500ms, Large, UnattendedOnly, UnattendedOnly}}},
    {"SmallAndCutOff",
     true,
     {{1s, Small, UnattendedOnly, UnattendedOnly},
      {2s, CutOff, UnattendedOnly, UnattendedOnly},
      {1s, CutOff, LargeOnly, LargeOnly}}},
    {"OwnSizeUnknown", true, {{9s, {.isShared = true, .isKnown = true, .largestOther = 0.5}, LargeOnly, LargeOnly}}},
    {"HalfTheLargestSize",
     true,
     {{9s, {.isShared = true, .isKnown = true, .ownSize = 0.25, .largestOther = 0.5}, LargeOnly, LargeOnly}}},
};

class DutiesBySize : public testing::TestWithParam<DutyRow>
{
};

// Guards against small gateways that take duties which they cannot do in time, and against gateways that change between
// the divisions with every statement.
TEST_P(DutiesBySize, ChangeWithModeAndSizes)
{
    const auto &row = GetParam();
    DutyEligibility eligibility(row.exchangesDemand);
    auto now = Start;
    for (std::size_t index = 0; index < row.phases.size(); ++index) {
        const auto &phase = row.phases[index];
        const auto end = now + phase.duration;
        EXPECT_EQ(eligibility.update(phase.input, now), phase.atBegin) << index;
        Duties duties = phase.atBegin;
        for (; now < end; now += 20ms) {
            duties = eligibility.update(phase.input, now);
        }
        EXPECT_EQ(duties, phase.atEnd) << index;
    }
}

INSTANTIATE_TEST_SUITE_P(All, DutiesBySize, testing::ValuesIn(DutyRows),
                         [](const auto &row) { return row.param.name; });

// Guards against duties that nobody has while gateways learn of a change of the mode at different times: the division
// among all gives a duty to any of them, that among large ones to a large one that is a member.
RC_GTEST_PROP(DutiesOfAFleet, BelongToSomeGatewayWhileTheModeChanges, ())
{
    constexpr milliseconds watchPeriod{2'000};
    const auto count = *rc::gen::inRange<std::size_t>(2, 8);
    const auto large = *rc::gen::inRange<std::size_t>(1, count);
    std::vector<DutyEligibility> gateways(count, DutyEligibility(true));
    std::vector<SteadyTime> sharedFrom;
    std::vector<SteadyTime> sharedUntil;
    for (std::size_t index = 0; index < count; ++index) {
        sharedFrom.push_back(Start + 2s + watchPeriod * *rc::gen::inRange(0, 100) / 100);
        sharedUntil.push_back(Start + 12s + watchPeriod * *rc::gen::inRange(0, 100) / 100);
    }
    for (auto now = Start; now < Start + 20s; now += 20ms) {
        std::vector<Duties> duties;
        for (std::size_t index = 0; index < count; ++index) {
            const bool isShared = now >= sharedFrom[index] && now < sharedUntil[index];
            auto input = index < large ? Large : Small;
            input.isShared = isShared;
            duties.push_back(gateways[index].update(input, now));
        }
        const bool allByAll = std::all_of(duties.begin(), duties.end(), [](const auto &own) { return own.byAll; });
        const bool anyByLarge = std::any_of(duties.begin(), duties.end(), [](const auto &own) { return own.byLarge; });
        RC_ASSERT(allByAll || anyByLarge);
    }
}

} // namespace
