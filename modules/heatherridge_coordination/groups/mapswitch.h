#pragma once

#include "heatherridge_coordination/groups/orderbatch.h"

#include <chrono>
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
    MapNumber mapNumber{}; ///< of the new map: above all that any rank ever had, and used by no one else
    ExpertLayout layout{};
    std::chrono::milliseconds copyTime{}; ///< the longest that any rank needs to copy what is new
    std::chrono::milliseconds passTime{50}; ///< of one pass
    std::uint64_t afterStep = 0; ///< the held pass lies behind this one, so that no order about an earlier hold fits it
};

/**
 * One switch of a group to a new map, so that all ranks use it from the same pass on.
 *
 * The ranks don't compare maps: if one switches and another does not, both work on with wrong results. So rank 0 is
 * first made to hold a pass that lies ahead; then every rank is armed for that pass; only when all have said so is the
 * pass released. Until then the group cannot reach the pass, whatever is lost, late or dead.
 *
 * Nothing tells a late order from a new one but what it is about. A number of a map is used once, and a rank has one
 * prepared map at a time: an order to arm that comes late finds its map armed, its pass begun, or another map prepared.
 * Whoever takes a switch back first holds the pass at a rank of its own, so that a release that was on its way, or that
 * a paused process still sends, does not let the group go while ranks are being disarmed.
 *
 * One thread; moved on by tick() and by nothing else. @see HoldRecovery for what follows when it cannot end.
 */
class MapSwitch
{
public:
    /** How a switch stands. */
    enum class State {
        Running,
        Switched, ///< all ranks use the map from the held pass on
        Abandoned, ///< no rank is armed and nothing is held
        Stuck, ///< something is or may be held or armed: needs HoldRecovery
    };

    /** Ranks that refuse to be armed may still be copying; they are asked again after this. */
    static constexpr std::chrono::milliseconds ArmRetryDelay{30};
    /** A held pass waits no longer than this for the last rank; then the switch is taken back. */
    static constexpr std::chrono::milliseconds ArmTimeout{900};
    /** All orders to one rank have an answer within this, or the rank is not to be reached. */
    static constexpr std::chrono::milliseconds OrderTimeout{3'000};
    /** A switch that has not held its pass this long after its copies should be there is out of date: the process was
     * paused meanwhile, and somebody else may have made the ranks prepare another map. */
    static constexpr std::chrono::milliseconds MaxHoldDelay{1'500};
    /** How often a pass is chosen that the group turns out to have begun. */
    static constexpr int MaxHoldAttempts = 3;

    MapSwitch(RankControl &control, MapSwitchPlan plan);

    /** Does what is due. @param mayHold false puts off the part in which the group is held */
    void tick(SteadyTime now, bool mayHold = true);

    /** How it stands. */
    State state() const;

    /** Whether it is in the part in which the group is held, or about to be. */
    bool isHolding() const;

    /** The pass that is or may be held; 0 before one was chosen. */
    std::uint64_t heldStep() const;

    /** Why it was abandoned or got stuck. */
    const std::string &reason() const;

    /** Most copies of one order that it took. */
    int maxSends() const;

    /** What was asked for. */
    const MapSwitchPlan &plan() const;

private:
    enum class Phase {
        Preparing,
        Copying,
        ReadingStep, ///< asks for the present pass
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
    std::shared_ptr<int> m_alive; ///< answers that come after the end find it gone
    SteadyTime m_startedAt{};
    SteadyTime m_phaseStartedAt{};
    std::optional<RankStatus> m_leadingRankStatus;
    std::uint64_t m_heldStep = 0;
    int m_holdAttempts = 0;
    int m_maxSends = 1; ///< most copies of one order so far; tells how lossy the way is
};

} // namespace Heatherridge
