#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace Heatherridge
{

/** How the engines of a group work, by their own figures, and what is owed to their streams. */
struct PassTimeModel
{
    using Milliseconds = std::chrono::duration<double, std::milli>;

    Milliseconds baseTime{}; ///< a pass without any request
    Milliseconds timePerRequest{}; ///< what one writing request adds to a pass of its own engine
    Milliseconds promptTime{}; ///< to read a usual prompt at one engine
    double passesPerStream = 1; ///< that a usual answer takes
    Milliseconds maxPassTime{}; ///< passes up to this keep the promised pauses

    /** A pass of engines with so many requests each, and so many prompts to read, all at their best. */
    Milliseconds idealPassTime(double requestsPerEngine, double promptsPerEngine) const;

    /** What a request takes of a pass on average, its prompt included. */
    Milliseconds meanTimePerRequest() const;
};

/** What the engines of a group do in a pass, each on average. */
struct PassLoad
{
    double requests = 0; ///< that are there
    double prompts = 0; ///< that are read
};

/**
 * By how much the passes of a group are longer than at their best, now and in bad moments of late.
 *
 * Load pattern: demand for experts shifts every few seconds, and passes are two to three times as long until a map for
 * it is in use. A group that is filled to what the better map carries has pauses beyond the promise at each shift. One
 * thread.
 */
class PassSlowdown
{
public:
    /** How long passes are remembered: longer than demand usually stands still. */
    static constexpr std::chrono::seconds HistoryLength{5};
    /** Part of the remembered passes that may be longer. */
    static constexpr double ExceedingShare = 0.05;
    /** Passes that are looked at for the present stretch: a second of them at most. */
    static constexpr std::size_t CurrentPasses = 8;

    /**
     * A pass took @p pass for @p work.
     * @param isTypical false while the group has a slow rank; usual() leaves such passes out
     */
    void record(std::chrono::duration<double, std::milli> passTime, const PassLoad &load,
                const PassTimeModel &passTimes, bool isTypical, SteadyTime now);

    /** Forgets all passes but those that present() looks at. */
    void discardOldSamples();

    /** What passes seldom exceed at present: the longest but one of the last few. 1 before any. */
    double current() const;

    /** What all but few passes of late have not exceeded. 1 before any. */
    double highPercentile() const;

    /** When the last pass was recorded. */
    SteadyTime lastRecordedAt() const;

private:
    struct Sample
    {
        SteadyTime at{};
        double slowdown = 1;
        bool isTypical = true;
    };

    void updateHighPercentile();

    std::deque<Sample> m_samples; ///< the newest last
    double m_highPercentile = 1;
};

/**
 * How many requests a group of @p engines carries with passes that keep the promised pauses, stretched by @p stretch.
 *
 * Load pattern: each request makes the passes of its whole group a little longer. A group whose batches are full can
 * have passes beyond the promised pause for good, and then serves hardly more than comes.
 */
double maxRequestsOnTime(double slowdown, std::size_t engines, const PassTimeModel &passTimes);

/** Whether not even one request an engine is on time: a slow rank, or a map that fits nothing. */
bool cannotBeOnTime(double slowdown, const PassTimeModel &passTimes);

/**
 * How many streams one entry may send to a group within one pass.
 *
 * Load pattern: room appears at once, when a better map comes into use or a group opens, and every entry has streams
 * waiting. Each takes its share of the room, counted in prompts, since all of them are read in the same pass; at least
 * one stream where there is any room.
 *
 * @param room requests that the group can take on time beyond those that it has, whether or not its batches hold them
 * @param share of this entry in all work, 0 to 1
 */
int maxStreamsPerPass(double spareRequests, const PassTimeModel &passTimes, double share);

} // namespace Heatherridge
