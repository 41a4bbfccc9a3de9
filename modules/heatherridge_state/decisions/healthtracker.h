#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/ids.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace Heatherridge
{

/** How an entry treats a target. */
enum class Health {
    Healthy, ///< gets its share
    Ejected, ///< gets nothing
    Probing, ///< gets one idempotent request at a time, to see whether it has recovered
};

/** How one attempt at a target went, as far as it tells of the target's health; refusals for load do not count. */
enum class AttemptOutcome {
    Succeeded,
    Failed, ///< unreachable, broken off, or failed inside
    TimedOut, ///< no sign of life in time
};

/** Bounds of a HealthTracker. */
struct HealthOptions
{
    int failuresToEject = 5; ///< in a row: at an error rate of 10% one in 100,000 sequences does so by chance
    double errorRateToEject = 0.5; ///< of the recent attempts, for a target that fails now and then
    double minAttempts = 10; ///< before the share says anything
    double slownessToEject = 4; ///< time a unit over the median of peers: spill no longer makes up for it
    std::chrono::milliseconds initialEjection{2000}; ///< a restart takes seconds
    std::chrono::milliseconds maxEjection{30'000}; ///< doubles up to this for a target that fails its probes
    /** Share of targets that may be out at a time. When more fail, the fault is likely the entry's own or the
     * network's, and the rest would drown in the work of all. */
    double maxEjectedShare = 1.0 / 3;
    int probesToRecover = 3; ///< successes in a row: one may be luck
};

/**
 * Which targets an entry leaves out because they fail or crawl.
 *
 * Load pattern: a target that fails fast looks idle and so attracts all work; one that hangs holds it. Without ejection
 * both turn a fault of one target into a fault for every caller; without probing a recovered target stays out, and
 * without a cap a fault between entry and targets takes all of them out. One thread; each entry judges for itself, so
 * a cut between one entry and a target leaves the others' view alone.
 */
class HealthTracker
{
public:
    explicit HealthTracker(HealthOptions options = {});

    /** @p target exists; it starts healthy. Known targets keep their state. */
    void add(const TargetName &target);

    /** @p target is gone for good. */
    void remove(const TargetName &target);

    /** An attempt at @p target has ended. */
    void record(const TargetName &target, AttemptOutcome attempt, SteadyTime now);

    /** The time @p target takes for a unit of cost over the median of its peers; above the bound it is ejected. */
    void recordSlowness(const TargetName &target, double slowness, SteadyTime now);

    /** How to treat @p target at @p now; unknown targets are healthy. */
    Health healthOf(const TargetName &target, SteadyTime now) const;

    /** How many targets are out or under probation. */
    std::size_t ejectedCount() const;

private:
    struct State
    {
        int failuresInRow = 0;
        int successfulProbes = 0;
        double attempts = 0; ///< recent ones, fading
        double failures = 0;
        bool ejected = false;
        SteadyTime ejectedUntil{}; ///< when probing begins
        std::chrono::milliseconds ejectionDuration{}; ///< length of the last ejection
    };

    void recordProbeResult(State &state, bool succeeded, SteadyTime now);
    void eject(State &state, SteadyTime now);
    bool canEject() const;

    HealthOptions m_options;
    std::map<TargetName, State> m_states;
    std::size_t m_ejectedCount = 0;
};

} // namespace Heatherridge
