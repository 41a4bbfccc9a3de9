#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/latencybaseline.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace Heatherridge
{

/** Bounds of a ConcurrencyLimit. */
struct ConcurrencyOptions
{
    std::size_t minLimit = 2; ///< never lower: one slow request must not stop a target
    std::size_t maxLimit = 256; ///< never higher: the inventory's `concurrency` where it names one
    std::size_t initialLimit = 8; ///< where a target starts that joins, was restarted or is cold
    std::chrono::microseconds acceptableFirstToken{
        500'000}; ///< mean time to first token that tells of waiting inside the engine
    std::chrono::microseconds acceptableTokenGap{59'000}; ///< time between tokens that no caller minds
    std::chrono::milliseconds window{500}; ///< shortest time between two decisions
};

/**
 * How many requests a target may run at a time, by the latency it shows.
 *
 * Load pattern: engines batch continuously, so that the number beyond which latency grows without more throughput
 * moves with prompts, models and cache. A fixed number is too low for one hour and too high for the next; too high
 * fills the engine's memory and all its answers become late together.
 *
 * Fast down, slow up: a late window takes away a tenth of the limit for each time the latency is over, at most half. It
 * is judged again only once the number that runs has come down to the new limit, and by requests that started after the
 * cut: answers take many windows, and without this rule one excess would be counted in each of them and take the limit
 * to its floor. A good window adds a sixteenth, and only when the limit was in use; near
 * the limit that was late last time a hundredth. Without that the limit swings, and each time it falls nothing starts
 * until as many have ended: workspaces within their share are then refused beside those beyond it. A cold target
 * doubles from a small number until the first late window, so that its cache fills before its full share comes.
 *
 * Measured while requests run, not at their end: the first token when it comes, the gaps between tokens as they pass.
 * One thread.
 */
class ConcurrencyLimit
{
public:
    /** A limit for a cold target. */
    explicit ConcurrencyLimit(ConcurrencyOptions options = {});

    /**
     * A request that started at @p started has given its first token or byte at @p now.
     * @param running how many run, it included
     */
    void recordFirstToken(SteadyTime started, std::size_t running, SteadyTime now);

    /** @p gap has passed between two tokens of a request. @param running how many run, it included */
    void recordTokenGap(std::chrono::microseconds gap, std::size_t running, SteadyTime now);

    /** The target was restarted, changed its model or lost its cache: starts anew from the initial limit. */
    void restart();

    /** How many may run now. */
    std::size_t limit() const;

    /** The part of its usual share that a target in slow start should get, 0 to 1; 1 once it has warmed up. */
    double warmth() const;

private:
    void updateWindow(std::size_t running, SteadyTime now);
    void closeWindow(SteadyTime now);

    ConcurrencyOptions m_options;
    LatencyBaseline m_firstToken;
    LatencyBaseline m_tokenGap;
    double m_limit;
    double m_ceiling = 0; ///< where the limit was when it was last late; 0 before
    std::size_t m_peakRunning = 0; ///< most that ran at a time in this window
    std::optional<SteadyTime> m_windowStart;
    bool m_slowStart = true;
    std::size_t m_lastRunning = 0; ///< at the last sample
    std::optional<SteadyTime> m_loweredAt; ///< when the limit was last lowered
};

} // namespace Heatherridge
