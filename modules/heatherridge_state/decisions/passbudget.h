#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace Heatherridge
{

/**
 * Model of the duration of a group's forward passes: the engines' own figures and the limits promised to their streams.
 */
struct PassTimeModel
{
    using Milliseconds = std::chrono::duration<double, std::milli>;

    Milliseconds baseTime{}; ///< of a pass without any request
    Milliseconds timePerRequest{}; ///< added to an engine's pass by each request that generates tokens there
    Milliseconds promptTime{}; ///< to process a typical prompt at one engine
    double passesPerStream = 1; ///< passes per typical answer
    Milliseconds maxPassTime{}; ///< longest pass that keeps the promised pauses between tokens

    /** Returns the duration of a pass at full efficiency with the given requests and prompts to process per engine. */
    Milliseconds idealPassTime(double requestsPerEngine, double promptsPerEngine) const;

    /** Returns the average share of a pass's duration that one request takes, its prompt included. */
    Milliseconds meanTimePerRequest() const;
};

/** Work of a pass, averaged per engine. */
struct PassLoad
{
    double requests = 0; ///< requests in the batch
    double prompts = 0; ///< prompts processed
};

/**
 * Tracks the slowdown of a group's passes: their duration over the ideal one, at present and at a high percentile of
 * recent passes.
 *
 * Load pattern: demand for experts shifts every few seconds, and passes take two to three times as long until an expert
 * map for the new demand is in use. A group that is filled to the capacity of a well-fitting map exceeds the promised
 * pauses at each shift. Single-threaded.
 */
class PassSlowdown
{
public:
    /** Period covered by highPercentile(): longer than demand usually stays constant. */
    static constexpr std::chrono::seconds HistoryLength{5};
    /** Share of the recorded passes that may exceed highPercentile(). */
    static constexpr double ExceedingShare = 0.05;
    /** Number of passes that current() considers: a second's worth at most. */
    static constexpr std::size_t CurrentPasses = 8;

    /**
     * Records a pass that took @p passTime for @p load.
     * @param isTypical false while the group has a slow rank; highPercentile() ignores such passes, except those that
     * current() considers
     */
    void record(std::chrono::duration<double, std::milli> passTime, const PassLoad &load,
                const PassTimeModel &passTimes, bool isTypical, SteadyTime now);

    /** Discards all passes except those that current() considers. */
    void discardOldSamples();

    /**
     * Returns the slowdown that passes seldom exceed at present: the second-longest of the last few. 1 before any pass.
     */
    double current() const;

    /**
     * Returns the slowdown that all but ExceedingShare of the passes within HistoryLength did not exceed. 1 before any
     * pass.
     */
    double highPercentile() const;

    /** Returns when the last pass was recorded. */
    SteadyTime lastRecordedAt() const;

private:
    struct Sample
    {
        SteadyTime at{};
        double slowdown = 1;
        bool isTypical = true;
    };

    void updateHighPercentile();

    std::deque<Sample> m_samples; ///< newest last
    double m_highPercentile = 1;
};

/**
 * Returns how many requests a group of @p engines can hold while its passes, lengthened by @p slowdown, keep the
 * promised pauses.
 *
 * Load pattern: each request makes the passes of its whole group slightly longer. A group whose batches are full can
 * exceed the promised pause permanently, and then its throughput hardly exceeds the arrival rate.
 */
double maxRequestsOnTime(double slowdown, std::size_t engines, const PassTimeModel &passTimes);

/**
 * Returns whether not even one request per engine can be on time, because of a slow rank or an expert map that does not
 * fit any demand.
 */
bool cannotBeOnTime(double slowdown, const PassTimeModel &passTimes);

/**
 * Returns how many streams one entry may send to a group within one pass.
 *
 * Load pattern: capacity becomes available at once, when a better map takes effect or a group opens, and every entry
 * has streams waiting. Each entry takes its share of the capacity, counted in prompts because all of them are processed
 * in the same pass, and at least one stream when there is any capacity.
 *
 * @param spareRequests requests that the group can take on time beyond those it has, whether or not its batches have
 * space for them
 * @param share of this entry in all work, 0 to 1
 */
int maxStreamsPerPass(double spareRequests, const PassTimeModel &passTimes, double share);

} // namespace Heatherridge
