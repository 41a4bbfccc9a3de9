#include "heatherridge_state/decisions/returnschedule.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/** Upper limit of a delay before the caller's remaining time is considered; keeps conversions within range. */
constexpr Seconds MaxDelay{3'600};

bool isRateKnown(const ReturnInput &input)
{
    return input.admittedPerSecond.value_or(0) > 0;
}

/** Returns the time until the capacity is free for the refused stream; the rate must be known. */
Seconds timeUntilFree(const ReturnInput &input)
{
    const Seconds time((input.streamsAhead + input.refusedOfRank) / *input.admittedPerSecond);
    return std::clamp<Seconds>(time, MinReturnDelay, MaxDelay);
}

Seconds maxDelay(const ReturnInput &input)
{
    return std::max<Seconds>(input.remainingTime, Seconds(0)) * MaxReturnFraction;
}

Seconds timeOfOneStream(const ReturnInput &input)
{
    return std::min(Seconds(1 / *input.admittedPerSecond), MaxDelay);
}

SteadyTime after(SteadyTime time, Seconds delay)
{
    return time + std::chrono::duration_cast<SteadyTime::duration>(delay);
}

} // namespace

milliseconds returnDelay(const ReturnInput &input, RandomSource &random)
{
    const double part = random.fraction();
    const auto limit = maxDelay(input);
    Seconds delay = UnknownRateReturnDelay * (1 + part * UnknownRateSpread);
    if (isRateKnown(input)) {
        delay = timeUntilFree(input) + timeOfOneStream(input) * part;
    }
    if (delay > limit) {
        // Spread as well: streams with the same remaining time would return as closely together as they were refused.
        delay = limit * (1 - part * UnknownRateSpread);
    }
    return std::chrono::duration_cast<milliseconds>(delay);
}

ReturnSchedule::Return ReturnSchedule::refuse(const Refusal &refusal, SteadyTime now, RandomSource &random)
{
    std::erase_if(m_takenUntil, [now](const auto &taken) { return taken.second <= now; });
    Return result{.input = {.streamsAhead = refusal.streamsAhead,
                            .admittedPerSecond = refusal.admittedPerSecond,
                            .remainingTime = refusal.remainingTime}};
    auto &input = result.input;
    if (isRateKnown(input)) {
        const Seconds taken = nextFree(refusal.returnClass, now) - now;
        input.refusedOfRank = std::max(taken.count() * *input.admittedPerSecond - input.streamsAhead, 0.0);
    }
    result.delay = returnDelay(input, random);
    if (!isRateKnown(input) || timeUntilFree(input) + timeOfOneStream(input) > maxDelay(input)) {
        return result;
    }
    const auto stream = timeOfOneStream(input);
    const auto takenUntil = after(now, timeUntilFree(input) + stream);
    for (auto &[returnClass, until] : m_takenUntil) {
        if (returnClass > refusal.returnClass && until >= takenUntil) {
            until = after(until, stream); // this stream is admitted before those of the class
        }
    }
    m_takenUntil[refusal.returnClass] = takenUntil;
    return result;
}

SteadyTime ReturnSchedule::nextFree(const ReturnClass &returnClass, SteadyTime now) const
{
    auto free = now;
    for (const auto &[other, until] : m_takenUntil) {
        if (other <= returnClass) {
            free = std::max(free, until);
        }
    }
    return free;
}

} // namespace Heatherridge
