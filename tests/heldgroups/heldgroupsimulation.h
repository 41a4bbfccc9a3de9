#pragma once

#include "heatherridge_coordination/groups/expertrebalancer.h"
#include "heatherridge_coordination/heatherridge_coordination.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Safeguards of the switch and its recovery, each taken away by what stands between keeper and ranks. */
enum class BrokenSafeguard {
    None,
    NoSecondHold, ///< the recovery's own hold is said to stand, and does not
    NoFence, ///< the maps that a recovery makes ranks prepare are said to be prepared, and are not
    NoHold, ///< a switch's hold is said to stand, and does not
    SilenceCountsAsArmed, ///< a rank that does not answer to being armed is said to be armed
};

/**
 * One expert group of engines that hold, arm and begin passes, and several keepers that reach it through a lossy way.
 *
 * Virtual time in milliseconds. Orders get lost, lose their answers and are then carried out up to 12 s late; keepers
 * pause, and go on with what they believed. Every pass checks that all ranks use one map.
 */
class HeldGroupSimulation
{
public:
    struct Options
    {
        int ranks = 4;
        std::uint64_t seed = 1;
        int processes = 2; ///< all of them active, as around a change of the share
        double unansweredFraction = 0.15; ///< part of the orders without an answer
        double lateFraction = 0.5; ///< part of these that are carried out all the same, up to 12 s later
        bool pausesProcesses = true;
        std::chrono::milliseconds maxStatusAge{200}; ///< statuses are up to so old; 10 with processes beside the ranks
        bool hasIdlePeriods = false; ///< the group has no work for seconds at a time
        BrokenSafeguard brokenSafeguard = BrokenSafeguard::None;
        bool isTraced = false; ///< prints the keepers' decisions
    };

    explicit HeldGroupSimulation(Options options);
    ~HeldGroupSimulation();

    HeldGroupSimulation(const HeldGroupSimulation &) = delete;
    HeldGroupSimulation &operator=(const HeldGroupSimulation &) = delete;

    /** Lets @p duration pass with faults, shifting what is demanded every few seconds. */
    void runWithFaults(std::chrono::milliseconds duration);

    /** Lets @p duration pass without faults, all keepers awake and one of them active. */
    void runWithoutFaults(std::chrono::milliseconds duration);

    /**
     * Lets the only active keeper pause for seconds as soon as it holds a pass, without other faults. Its share goes to
     * the next keeper once its lease is over.
     *
     * @returns how long no pass was begun
     */
    std::chrono::milliseconds haltAfterHolderPauses();

    /**
     * Lets @p duration pass without faults while the first keeper can't renew its share and does not know that the
     * second has it.
     *
     * @returns the longest time without a pass
     */
    std::chrono::milliseconds haltWithTwoActiveRebalancers(std::chrono::milliseconds duration);

    /** What went wrong first; empty when nothing did. */
    const std::string &violation() const;

    /** Whether a pass is held. */
    bool isNextPassHeld() const;

    /** Passes so far. */
    std::uint64_t step() const;

    /** Changes of the map that took effect. */
    int switches() const;

private:
    struct Engine;
    class FaultyRankControl;
    struct RebalancerProcess;

    bool isAnyPassHeld() const;
    std::chrono::milliseconds longestHalt(std::chrono::milliseconds duration, const std::function<void()> &eachTick);
    void advance(std::chrono::milliseconds duration, bool hasFaults);
    void beginPass();
    void shiftDemand();
    OrderReply executeOrder(std::size_t rank, const RankOrder &order, std::uint64_t epoch);
    OrderReply applyOrder(Engine &engine, const RankOrder &order);
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
