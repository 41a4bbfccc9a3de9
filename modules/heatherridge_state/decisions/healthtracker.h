#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace Heatherridge
{

/** Health of a target, which determines how an entry uses it. */
enum class Health {
    Healthy, ///< receives its normal share of requests
    Ejected, ///< receives no requests
    Probing, ///< receives one idempotent request at a time, to test whether it has recovered
};

/**
 * Outcome of one attempt at a target, as far as it reflects the target's health. Refusals because of load do not count.
 */
enum class AttemptOutcome {
    Succeeded,
    Failed, ///< unreachable, interrupted, or failed inside the target
    TimedOut, ///< no response in time
};

/** Thresholds of a HealthTracker. */
struct HealthOptions
{
    int failuresToEject = 5; ///< consecutive; at an error rate of 10%, one sequence in 100,000 fails by chance
    double errorRateToEject = 0.5; ///< share of recent attempts, for a target that fails intermittently
    double minAttempts = 10; ///< recent attempts required before the error rate is used
    double slownessToEject = 4; ///< time per unit over the median of peers; spilling load no longer makes up for it
    std::chrono::milliseconds initialEjection{2000}; ///< a restart takes seconds
    std::chrono::milliseconds maxEjection{30'000}; ///< limit of the doubling for a target that fails its probes
    /**
     * Largest share of targets that may be ejected at a time. When more fail, the cause is probably the entry or the
     * network, and the remaining targets would be overloaded by the traffic of all.
     */
    double maxEjectedShare = 1.0 / 3;
    int probesToRecover = 3; ///< consecutive successes; a single one may be chance
};

/**
 * Tracks which targets an entry ejects because they fail or are too slow.
 *
 * Load pattern: a target that fails fast looks idle and therefore attracts all work; one that hangs holds the work it
 * has. Without ejection, either turns a fault of one target into a fault for every caller. Without probing, a recovered
 * target stays ejected, and without a limit, a fault between the entry and its targets ejects all of them.
 * Single-threaded. Each entry judges independently, so a broken connection between one entry and a target does not
 * affect the view of the other entries.
 */
class HealthTracker
{
public:
    explicit HealthTracker(HealthOptions options = {});

    /** Adds @p target as healthy. Targets already known keep their state. */
    void add(const TargetName &target);

    /** Removes @p target permanently. */
    void remove(const TargetName &target);

    /** Records the outcome of an attempt at @p target. */
    void record(const TargetName &target, AttemptOutcome attempt, SteadyTime now);

    /**
     * Records the time that @p target takes per unit of cost over the median of its peers; at or above
     * HealthOptions::slownessToEject the target is ejected.
     */
    void recordSlowness(const TargetName &target, double slowness, SteadyTime now);

    /** Returns the health of @p target at @p now; unknown targets are healthy. */
    Health healthOf(const TargetName &target, SteadyTime now) const;

    /** Returns the number of targets that are ejected or being probed. */
    std::size_t ejectedCount() const;

private:
    struct State
    {
        int failuresInRow = 0;
        int successfulProbes = 0;
        double attempts = 0; ///< recent attempts, with exponential decay
        double failures = 0;
        bool ejected = false;
        SteadyTime ejectedUntil{}; ///< start of probing
        std::chrono::milliseconds ejectionDuration{}; ///< duration of the latest ejection
    };

    void recordProbeResult(State &state, bool succeeded, SteadyTime now);
    void eject(State &state, SteadyTime now);
    bool canEject() const;

    HealthOptions m_options;
    std::map<TargetName, State> m_states;
    std::size_t m_ejectedCount = 0;
};

} // namespace Heatherridge
