#pragma once

#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heatherridge_coordination/heatherridge_coordination.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Safeguards of the switch and its recovery, each of which FaultyRankControl can disable. */
enum class BrokenSafeguard {
    None,
    NoSecondHold, ///< the recovery's second hold is reported as accepted, but not placed
    NoFence, ///< the fence maps of a recovery are reported as prepared, but are not
    NoHold, ///< the hold of a switch is reported as accepted, but not placed
    SilenceCountsAsArmed, ///< a rank that does not answer the order to arm is reported as armed
};

/**
 * Simulates one expert group, whose engines hold, arm and begin passes, and several rebalancers that reach it through
 * lossy connections.
 *
 * Virtual time in milliseconds. Orders get lost, or lose their answers and are then executed up to 12 s late;
 * rebalancer processes pause, and resume with outdated state. Every pass checks that all ranks use the same map.
 */
class HeldGroupSimulation
{
public:
    struct Options
    {
        int ranks = 4;
        std::uint64_t seed = 1;
        int processes = 2; ///< all of them active, as around a change of the share's holder
        double unansweredFraction = 0.15; ///< fraction of the orders without an answer
        double lateFraction = 0.5; ///< fraction of these that are executed nevertheless, up to 12 s later
        bool pausesProcesses = true;
        bool restartsProcesses = false; ///< they are also killed, and start with empty memory
        std::chrono::milliseconds maxStatusAge{200}; ///< maximum age of a status; 10 ms with processes beside the ranks
        bool hasIdlePeriods = false; ///< the group has no work for seconds at a time
        std::chrono::milliseconds longestIdlePeriod{6'000};
        BrokenSafeguard brokenSafeguard = BrokenSafeguard::None;
        bool isTraced = false; ///< prints the decisions of the rebalancers
    };

    explicit HeldGroupSimulation(Options options);
    ~HeldGroupSimulation();

    HeldGroupSimulation(const HeldGroupSimulation &) = delete;
    HeldGroupSimulation &operator=(const HeldGroupSimulation &) = delete;

    /** Simulates @p duration with faults; demand shifts every few seconds. */
    void runWithFaults(std::chrono::milliseconds duration);

    /** Simulates @p duration without faults; no process is paused, and one rebalancer is active. */
    void runWithoutFaults(std::chrono::milliseconds duration);

    /**
     * Pauses the only active rebalancer for seconds as soon as it holds a pass, without other faults. Its share goes to
     * the next rebalancer once the lease has expired.
     *
     * @returns the longest time without a new pass
     */
    std::chrono::milliseconds haltAfterHolderPauses();

    /** How far the active rebalancer is with a switch when it loses its share. */
    enum class SwitchStage {
        Preparing, ///< ranks copy experts for the new map
        Holding,
    };

    /**
     * Gives the share to the next rebalancer as soon as the active one, which knows that it has lost it, has reached
     * @p stage of a switch.
     *
     * @returns the longest time without a new pass
     */
    std::chrono::milliseconds haltAfterHolderLeaves(SwitchStage stage);

    /**
     * Simulates @p duration without faults while the first rebalancer cannot renew its share and does not know that the
     * second has it.
     *
     * @returns the longest time without a new pass
     */
    std::chrono::milliseconds haltWithTwoActiveRebalancers(std::chrono::milliseconds duration);

    /** Returns the first violation; empty if there was none. */
    const std::string &violation() const;

    /** Returns whether the next pass is held. */
    bool isNextPassHeld() const;

    /** Returns the number of passes so far. */
    std::uint64_t step() const;

    /** Returns the number of map changes that took effect. */
    int switches() const;

private:
    struct Engine;
    class FaultyRankControl;
    struct RebalancerProcess;

    bool isAnyPassHeld() const;
    bool isAnyMapPrepared() const;
    std::chrono::milliseconds longestHalt(std::chrono::milliseconds duration, const std::function<void()> &eachTick);
    void advance(std::chrono::milliseconds duration, bool hasFaults);
    void startProcess(int index);
    void restartAtRandom(int index);
    void beginPass();
    void shiftDemand();
    OrderReply executeOrder(std::size_t rank, const RankOrder &order, std::uint64_t epoch);
    RankStatus statusOf(std::size_t rank) const;
    void schedule(std::chrono::milliseconds delay, std::function<void()> task);
    SteadyTime now() const;

    Options m_options;
    SeededRandom m_random;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<RebalancerProcess>> m_processes;
    std::vector<std::pair<std::int64_t, std::function<void()>>> m_tasks;
    std::int64_t m_now = 1'000;
    std::int64_t m_nextPassAt = 1'050;
    std::int64_t m_idleUntil = 0;
    std::uint64_t m_step = 0;
    bool m_hasFaults = false;
    std::vector<double> m_demand;
    std::string m_violation;
    int m_switches = 0;
};

} // namespace Heatherridge
