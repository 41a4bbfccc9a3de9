#include "heatherridge_state/groups/mapnumbering.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** With the seconds since 2020 as generation, numbers fit the 53-bit mantissa of a double until 2054. */
constexpr unsigned RandomBits = 5;
constexpr unsigned SpanBits = 5;
constexpr unsigned StepBits = 12;
constexpr unsigned PurposeBits = 1;
constexpr unsigned StepShift = RandomBits + SpanBits;
constexpr unsigned PurposeShift = StepShift + StepBits;
constexpr unsigned GenerationShift = PurposeShift + PurposeBits;
constexpr std::uint64_t SpanUnit = 8;

constexpr std::uint64_t maskOf(unsigned bits)
{
    return (std::uint64_t{1} << bits) - 1;
}

static_assert(MaxPassesAhead <= maskOf(SpanBits) * SpanUnit);

std::uint64_t spanUnits(const MapNumberFields &fields)
{
    return (std::min(fields.spanSteps, MaxPassesAhead) + SpanUnit - 1) / SpanUnit;
}

} // namespace

MapNumber makeMapNumber(const MapNumberFields &fields, std::uint64_t randomBits)
{
    const std::uint64_t purpose = fields.purpose == MapPurpose::Fence ? 1 : 0;
    return static_cast<MapNumber>((fields.generation << GenerationShift) | (purpose << PurposeShift)
                                  | ((fields.usedSteps & maskOf(StepBits)) << StepShift)
                                  | (spanUnits(fields) << RandomBits) | (randomBits & maskOf(RandomBits)));
}

std::uint64_t generationOf(MapNumber number)
{
    return toNumber(number) >> GenerationShift;
}

std::uint64_t lastStepToHold(const MapNumberFields &fields)
{
    return fields.usedSteps + spanUnits(fields) * SpanUnit;
}

HeldStepBounds heldStepBounds(MapNumber number, std::uint64_t step)
{
    if (number == MapNumber{}) {
        return {};
    }
    // The bits tell the pass that is nearest to the present one.
    constexpr auto period = static_cast<std::int64_t>(maskOf(StepBits)) + 1;
    const auto bits = ((toNumber(number) >> StepShift) - step) & maskOf(StepBits);
    const auto usedAhead =
        static_cast<std::int64_t>(bits) - (static_cast<std::int64_t>(bits) > period / 2 ? period : 0);
    const auto span = static_cast<std::int64_t>(((toNumber(number) >> RandomBits) & maskOf(SpanBits)) * SpanUnit);
    const auto passAhead = [step](std::int64_t ahead) {
        const bool isAhead = ahead > 0 && ahead <= 2 * static_cast<std::int64_t>(MaxPassesAhead);
        return isAhead ? step + static_cast<std::uint64_t>(ahead) : std::uint64_t{0};
    };
    return {.used = passAhead(usedAhead), .last = passAhead(usedAhead + span)};
}

} // namespace Heatherridge
