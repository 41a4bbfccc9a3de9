#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/latencybaseline.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace Heatherridge
{

/** Limits of a ConcurrencyLimit. */
struct ConcurrencyOptions
{
    std::size_t minLimit = 2; ///< lower bound: one slow request must not stop a target
    std::size_t maxLimit = 256; ///< upper bound: the `concurrency` of the inventory if it specifies one
    std::size_t initialLimit = 8; ///< limit of a target that has joined, was restarted or is cold
    std::chrono::microseconds acceptableFirstToken{
        500'000}; ///< mean time to first token above which requests are waiting inside the engine
    std::chrono::microseconds acceptableTokenGap{59'000}; ///< time between tokens that callers accept
    std::chrono::milliseconds window{500}; ///< minimum time between two decisions
};

/**
 * Adapts how many requests a target may run at a time to the latency that it shows.
 *
 * Load pattern: engines batch continuously, so the concurrency beyond which latency grows without more throughput
 * depends on prompts, models and cache. A fixed limit is too low at one hour and too high at the next. A limit that is
 * too high fills the memory of the engine, and all its answers become late together.
 *
 * The limit falls fast and rises slowly. A window with late latency lowers the limit by a tenth for each multiple by
 * which the latency is exceeded, by at most half. The limit is judged again only when the number of running requests
 * has come down to the new limit, and only by requests that started after the cut: answers span many windows, and
 * without this rule one excess would be counted in each of them and push the limit to its minimum. A good window raises
 * the limit by a sixteenth, provided that the limit was in use; near the limit at which latency was last late, by a
 * hundredth. Without this slow approach the limit oscillates, and after each drop nothing starts until enough requests
 * have ended: workspaces within their share are then refused along with those that exceed it. The limit of a cold
 * target starts small and doubles until the first late window, so that its cache fills before it receives its full
 * share.
 *
 * Latency is measured while requests run, not when they end: the first token when it arrives, and the gaps between
 * tokens as they occur. Single-threaded.
 */
class ConcurrencyLimit
{
public:
    /** Creates the limit of a cold target. */
    explicit ConcurrencyLimit(ConcurrencyOptions options = {});

    /**
     * Records that a request started at @p started has produced its first token or byte at @p now.
     * @param running number of running requests, including this one
     */
    void recordFirstToken(SteadyTime started, std::size_t running, SteadyTime now);

    /**
     * Records that @p gap has passed between two tokens of a request.
     * @param running number of running requests, including this one
     */
    void recordTokenGap(std::chrono::microseconds gap, std::size_t running, SteadyTime now);

    /**
     * Starts again from the initial limit. Called when the target was restarted, changed its model or lost its cache.
     */
    void restart();

    /** Returns how many requests may run now. */
    std::size_t limit() const;

    /**
     * Returns the fraction of its usual share that a target in slow start should get, 0 to 1; 1 once it has warmed up.
     */
    double warmth() const;

private:
    void updateWindow(std::size_t running, SteadyTime now);
    void closeWindow(SteadyTime now);

    ConcurrencyOptions m_options;
    LatencyBaseline m_firstToken;
    LatencyBaseline m_tokenGap;
    double m_limit;
    double m_ceiling = 0; ///< limit at which latency was last late; 0 if it never was
    std::size_t m_peakRunning = 0; ///< highest number of running requests in this window
    std::optional<SteadyTime> m_windowStart;
    bool m_slowStart = true;
    std::size_t m_lastRunning = 0; ///< number of running requests at the last sample
    std::optional<SteadyTime> m_loweredAt; ///< when the limit was last lowered
};

} // namespace Heatherridge
