#include "heatherridge_state/groups/mapnumbering.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

constexpr std::uint64_t Generation = 220'000'000;

struct HeldStepBoundsCase
{
    const char *name;
    std::uint64_t usedSteps;
    std::uint64_t spanSteps;
    std::uint64_t step; ///< when the number is read
    HeldStepBounds bounds;
};

const HeldStepBoundsCase HeldStepBoundsCases[] = {
    {"NothingHeldYet", 1'000, 24, 1'000, {.used = 0, .last = 1'024}},
    {"RecoveredPassAhead", 1'009, 0, 1'000, {.used = 1'009, .last = 1'009}},
    {"SpanIsRoundedUp", 1'000, 17, 1'000, {.used = 0, .last = 1'024}},
    {"SpanIsLimited", 1'000, 5'000, 1'000, {.used = 0, .last = 1'240}},
    {"UsedPassBegun", 1'000, 24, 1'010, {.used = 0, .last = 1'024}},
    {"AllBegun", 1'000, 24, 1'024, {.used = 0, .last = 0}},
    {"AllBegunLongAgo", 1'000, 24, 2'900, {.used = 0, .last = 0}},
    {"LowBitsOverflow", 4'090, 16, 4'088, {.used = 4'090, .last = 4'106}},
};

class HeldStepBoundsOfNumbers : public testing::TestWithParam<HeldStepBoundsCase>
{
};

// Guards against a pass that is held a second time because the process that held it first is forgotten.
TEST_P(HeldStepBoundsOfNumbers, TellWhichPassesMayHaveBeenHeld)
{
    const auto &testCase = GetParam();
    const MapNumberFields fields{
        .generation = Generation, .usedSteps = testCase.usedSteps, .spanSteps = testCase.spanSteps};
    const auto number = makeMapNumber(fields, ~std::uint64_t{0});
    const auto bounds = heldStepBounds(number, testCase.step);
    EXPECT_EQ(bounds.used, testCase.bounds.used);
    EXPECT_EQ(bounds.last, testCase.bounds.last);
    EXPECT_EQ(generationOf(number), Generation);
    EXPECT_LT(toNumber(number), std::uint64_t{1} << 53U);
}

INSTANTIATE_TEST_SUITE_P(All, HeldStepBoundsOfNumbers, testing::ValuesIn(HeldStepBoundsCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
