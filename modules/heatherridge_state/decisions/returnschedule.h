#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/randomsource.h"

#include <chrono>
#include <map>
#include <optional>

namespace Heatherridge
{

/** What determines when a caller that is refused for lack of capacity should retry. */
struct ReturnInput
{
    double streamsAhead = 0; ///< waiting streams that are admitted before those of this caller
    double refusedOfRank = 0; ///< refused streams that are admitted before this one after they have returned
    std::optional<double> admittedPerSecond{}; ///< of this rank and higher ones; empty if unknown
    std::chrono::milliseconds remainingTime{0}; ///< of the caller
};

/** Shortest retry delay: a shorter one saves the caller nothing against the round trip and the next decision. */
constexpr std::chrono::milliseconds MinReturnDelay{100};
/** Longest retry delay as a fraction of the caller's remaining time: callers do not wait longer than that. */
constexpr double MaxReturnFraction = 1.0 / 3;
/** Retry delay if no rate of admission is known: a third of an engine's usual answer time. */
constexpr std::chrono::milliseconds UnknownRateReturnDelay{500};
/** Random part of a retry delay that does not follow from a rate, as a fraction of it. */
constexpr double UnknownRateSpread = 0.5;

/**
 * Returns how long a refused caller should wait before it retries. The random part is the time in which one stream is
 * admitted: the streams refused before it have the time before that.
 */
std::chrono::milliseconds returnDelay(const ReturnInput &input, RandomSource &random);

/**
 * Distributes the retries of refused streams over the time in which there is capacity for them. One object for each
 * service.
 *
 * Load pattern: callers that were refused during a peak are told the same delay and come back into the same peak
 * together. Each refused stream is given the next time in which one stream is admitted, behind the waiting streams and
 * the refused ones of its rank and of higher ranks, and a random moment within that time. A random moment within the
 * whole time that the refused streams need does not fill the capacity evenly: in 200 replays of 300 streams refused
 * within a second at 100 per second, the fullest 250 ms had 57 retries on average, while 25 can be admitted.
 *
 * A stream whose time would come too late for its caller takes no time of the schedule: it retries earlier, when all
 * capacity is taken, and is served only if others do not come back. Single-threaded.
 */
class ReturnSchedule
{
public:
    /** Streams that are admitted in the order of their class. */
    struct ReturnClass
    {
        int priority = 0; ///< 0 is the highest rank
        bool isOverShare = false; ///< the workspace is over its fair share

        auto operator<=>(const ReturnClass &) const = default;
    };

    /** A stream that is refused. */
    struct Refusal
    {
        ReturnClass returnClass{};
        double streamsAhead = 0; ///< @see ReturnInput
        std::optional<double> admittedPerSecond{}; ///< @see ReturnInput
        std::chrono::milliseconds remainingTime{0}; ///< @see ReturnInput
    };

    /** The delay told to a caller, and what it follows from. */
    struct Return
    {
        std::chrono::milliseconds delay{0};
        ReturnInput input{};
    };

    /** Records that a stream is refused at @p now. @returns when its caller should retry */
    Return refuse(const Refusal &refusal, SteadyTime now, RandomSource &random);

private:
    SteadyTime nextFree(const ReturnClass &returnClass, SteadyTime now) const;

    /** Per class, until when the capacity is taken by refused streams of that class and those before it. */
    std::map<ReturnClass, SteadyTime> m_takenUntil;
};

} // namespace Heatherridge
