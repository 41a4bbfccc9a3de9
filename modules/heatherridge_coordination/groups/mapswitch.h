#pragma once

#include "heatherridge_coordination/groups/orderbatch.h"

#include <chrono>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Everything that a switch needs to know before its first order. */
struct MapSwitchPlan
{
    std::vector<TargetEntry> ranks{}; ///< by rank
    std::uint64_t epoch = 0;
    MapNumber mapNumber{}; ///< of the new map: above all numbers that any rank has had, and used by nobody else
    ExpertLayout layout{};
    std::chrono::milliseconds copyTime{}; ///< the longest time that any rank needs to copy its new experts
    std::chrono::milliseconds passTime{50}; ///< duration of one pass
    std::uint64_t afterStep =
        0; ///< the held pass comes after this one, so that no order for an earlier hold matches it
    std::uint64_t untilStep = std::numeric_limits<std::uint64_t>::max(); ///< and not after this one
};

/**
 * One switch of a group to a new expert map, such that all ranks use the new map from the same pass on.
 *
 * The ranks do not compare maps: if one switches and another does not, both continue and produce wrong results.
 * Therefore rank 0 is first ordered to hold a pass ahead of the present one, then every rank is armed for that pass,
 * and only when all of them have confirmed is the pass released. Until then the group cannot reach the pass, whatever
 * gets lost, delayed or stopped.
 *
 * A late order can be distinguished from a new one only by its contents. A map number is used once, and a rank has one
 * prepared map at a time: an order to arm that comes late finds its map already armed, its pass already begun, or
 * another map prepared. A process that reverts a switch first holds the pass at another rank, so that a release that
 * was in transit, or that a paused process sends later, does not let the group continue while its ranks are being
 * disarmed.
 *
 * One thread; driven by tick() only. @see HoldRecovery for what follows when a switch cannot complete.
 */
class MapSwitch
{
public:
    /** State of a switch. */
    enum class State {
        Running,
        Switched, ///< all ranks use the map from the held pass on
        Abandoned, ///< no rank is armed and nothing is held
        Stuck, ///< something is or may be held or armed: needs HoldRecovery
    };

    /** Ranks that refuse to be armed may still be copying; they are asked again after this delay. */
    static constexpr std::chrono::milliseconds ArmRetryDelay{30};
    /** A held pass waits at most this long for the last rank to be armed; then the switch is reverted. */
    static constexpr std::chrono::milliseconds ArmTimeout{900};
    /** A rank that does not answer an order in this time counts as unreachable. */
    static constexpr std::chrono::milliseconds OrderTimeout{3'000};
    /**
     * A switch that has not held its pass this long after its copies should have completed has expired: the process was
     * paused in the meantime, and another process may have made the ranks prepare another map.
     */
    static constexpr std::chrono::milliseconds MaxHoldDelay{1'500};
    /** How many times a pass to hold is chosen, if the group turns out to have begun the chosen one already. */
    static constexpr int MaxHoldAttempts = 3;

    MapSwitch(RankControl &control, MapSwitchPlan plan);

    /** Performs all actions that are due. @param mayHold false defers the phases in which the group is held */
    void tick(SteadyTime now, bool mayHold = true);

    /** Returns the present state. */
    State state() const;

    /** Returns whether it is in the phases in which the group is held or about to be held. */
    bool isHolding() const;

    /** Returns the pass that is or may be held; 0 before one was chosen. */
    std::uint64_t heldStep() const;

    /** Returns why it was abandoned or got stuck. */
    const std::string &reason() const;

    /** Returns how many copies were sent of the order that needed most. */
    int maxSends() const;

    /** Returns the plan that it executes. */
    const MapSwitchPlan &plan() const;

private:
    enum class Phase {
        Preparing,
        Copying,
        ReadingStep, ///< requests the present pass from rank 0
        Holding,
        Arming,
        Releasing,
        Finished,
    };

    void startPreparing();
    void checkPrepared(SteadyTime now);
    void readStep(SteadyTime now);
    void startHold(const RankStatus &status, SteadyTime now);
    void checkHold(SteadyTime now);
    void startArming(SteadyTime now);
    void checkArming(SteadyTime now);
    std::string describeUnarmedRanks() const;
    void startRelease(SteadyTime now);
    void checkRelease(SteadyTime now);
    void finish(State state, std::string reason);
    std::uint64_t marginSteps() const;

    RankControl &m_control;
    MapSwitchPlan m_plan;
    Phase m_phase = Phase::Preparing;
    State m_state = State::Running;
    std::string m_reason;
    std::unique_ptr<OrderBatch> m_orders;
    std::shared_ptr<int> m_alive; ///< expired for answers that arrive after the switch has ended
    SteadyTime m_startedAt{};
    SteadyTime m_phaseStartedAt{};
    std::optional<RankStatus> m_leadingRankStatus;
    std::uint64_t m_heldStep = 0;
    int m_holdAttempts = 0;
    int m_maxSends = 1; ///< copies of the order that needed most so far; indicates how lossy the connection is
};

} // namespace Heatherridge
