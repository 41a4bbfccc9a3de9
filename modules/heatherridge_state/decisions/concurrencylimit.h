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
    std::size_t least = 2; ///< never lower: one slow request must not stop a target
    std::size_t most = 256; ///< never higher: the inventory's `concurrency` where it names one
    std::size_t initial = 8; ///< where a target starts that joins, was restarted or is cold
    std::chrono::microseconds acceptableFirst{360'000}; ///< time to first token that no caller minds
    std::chrono::microseconds acceptableBetween{59'000}; ///< time between tokens that no caller minds
    std::chrono::milliseconds window{500}; ///< shortest time between two decisions
};

/** What was measured of one request; a plain call has a first byte only. */
struct LatencySample
{
    std::chrono::microseconds first{}; ///< from its start at the target, not its arrival, to the first token
    std::optional<std::chrono::microseconds> between{}; ///< mean time between its tokens
};

/**
 * How many requests a target may run at a time, by the latency it shows.
 *
 * Load pattern: engines batch continuously, so that the number beyond which latency grows without more throughput
 * moves with prompts, models and cache. A fixed number is too low for one hour and too high for the next; too high
 * fills the engine's memory and all its answers become late together.
 *
 * Fast down, slow up: a late window takes away at least a tenth and at most half, in proportion to the excess, and the
 * window after it is ignored, since its requests began before. A good window adds a sixteenth, and only when the limit
 * was in use. A cold target doubles from a small number until the first late window, so that its cache fills
 * before its full share comes. One thread.
 */
class ConcurrencyLimit
{
public:
    /** A limit for a cold target. */
    explicit ConcurrencyLimit(ConcurrencyOptions options = {});

    /** Takes in one finished request. @param running how many ran beside it, itself included */
    void record(const LatencySample &sample, std::size_t running, SteadyTime now);

    /** The target was restarted, changed its model or lost its cache: starts anew from the initial limit. */
    void restart();

    /** How many may run now. */
    std::size_t limit() const;

    /** The part of its usual share that a target in slow start should get, 0 to 1; 1 once it has warmed up. */
    double warmth() const;

private:
    void closeWindow();

    ConcurrencyOptions m_options;
    LatencyBaseline m_first;
    LatencyBaseline m_between;
    double m_limit;
    std::size_t m_peak = 0; ///< most that ran at a time in this window
    std::optional<SteadyTime> m_windowStart;
    bool m_slowStart = true;
    bool m_ignoreNext = false;
};

} // namespace Heatherridge
