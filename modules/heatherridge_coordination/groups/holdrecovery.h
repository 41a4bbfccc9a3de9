#pragma once

#include "heatherridge_coordination/groups/orderbatch.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Heatherridge
{

/** Everything that a recovery needs to know before its first order. */
struct RecoveryPlan
{
    std::vector<TargetEntry> ranks{}; ///< by rank
    std::uint64_t epoch = 0;
    std::uint64_t heldStep = 0; ///< the pass that is held
    std::size_t experts = 0; ///< in each set
    bool mayJoin = true; ///< if false, the recovery ends at once when it detects another one
};

/**
 * Releases a group whose pass is held and not released: the holder died, was paused or disconnected during a switch, or
 * the switch of this process got stuck.
 *
 * A hold does not expire. If it were simply released while some ranks are armed and others are not, the group would use
 * two maps. In addition, its holder may only be slow: its release may still be sent or already be in transit. Therefore
 * the pass is first held a second time, at another rank; from then on only recoveries can release it. Then each rank is
 * disarmed and fenced: it is made to prepare a map that nobody will ever arm. This copies nothing, but replaces the map
 * that was to be armed, so that a late order to arm that map is refused. Once all ranks are seen to have these maps,
 * nothing is armed and nothing can be; then the pass is released at all ranks.
 *
 * Any number of processes may recover the same group, and switches may begin in the meantime. A map that one of them
 * prepares concurrently is detected before the release; this recovery then ends and is retried after a random delay. An
 * armed map is disarmed only if this recovery's hold is known to have existed after the map was seen armed: otherwise
 * another recovery may have ended and released the group while this process was paused, and what is armed may belong to
 * a new switch. One thread; driven by tick() only.
 */
class HoldRecovery
{
public:
    /** State of the recovery. */
    enum class State {
        Running,
        Released, ///< by this recovery
        NothingHeld, ///< no hold is left to release
        YieldedToOther, ///< another recovery is running
        Failed, ///< ranks did not answer or another process interfered; to be retried
    };

    /** A recovery that takes longer ends and is started again if it is still needed. */
    static constexpr std::chrono::milliseconds Timeout{5'000};
    /** Delay before a rank that did not answer is asked again: many times the round trip. */
    static constexpr std::chrono::milliseconds RetryDelay{250};

    /**
     * Allocates the number of a fence for the rank of @p status: above all numbers that the rank has had, and naming
     * the recovered pass as one that was held, see MapNumberFields.
     */
    using AllocateMapNumber = std::function<MapNumber(const RankStatus &status)>;

    HoldRecovery(RankControl &control, RecoveryPlan plan, AllocateMapNumber allocateMapNumber);

    /** Performs all actions that are due. */
    void tick(SteadyTime now);

    /** Returns the present state. */
    State state() const;

    /** Returns why it failed or had nothing to do. */
    const std::string &reason() const;

private:
    enum class Phase {
        ReadingStatuses,
        PlacingSecondHold, ///< holds the pass at a second rank
        Fencing,
        Verifying,
        Releasing,
        Finished,
    };

    /** State of one rank while it is being fenced. */
    struct RankState
    {
        std::optional<RankStatus> status{};
        std::optional<RankExperts> experts{};
        bool isQueryPending = false;
        SteadyTime nextQueryAt{};
        SteadyTime minStatusTime{}; ///< statuses that may be older are discarded
        std::unique_ptr<OrderBatch> pendingOrder{}; ///< at most one at a time
        std::optional<MapNumber> fenceMap{}; ///< the map that the rank was ordered to prepare as a fence
        bool isFenced = false;
        std::optional<SteadyTime> armedSince{}; ///< since when a map that has to be disarmed is seen armed
    };

    void queryStatus(std::size_t index, SteadyTime now);
    void queryAllStatuses(SteadyTime now);
    void placeSecondHold(SteadyTime now);
    void checkSecondHold(SteadyTime now);
    void fenceRanks(SteadyTime now);
    void fenceRank(std::size_t index, SteadyTime now);
    void handleOrderReply(RankState &rank, SteadyTime now);
    void disarmOrPrepare(std::size_t index, SteadyTime now);
    void disarm(std::size_t index, SteadyTime now);
    void confirmSecondHold(SteadyTime now);
    void readExperts(std::size_t index, SteadyTime now);
    void verifyFences(SteadyTime now);
    bool isFenceIntact(std::size_t index) const;
    bool isOtherRecoveryRunning() const;
    /**
     * Returns whether the map that the rank has prepared replaced the one of the switch that held the pass: that switch
     * cannot be armed there any more, and no later one holds the pass.
     */
    bool hasBeenReleased(const RankStatus &status) const;
    void repeatFencing(SteadyTime now);
    void releaseHolds(SteadyTime now);
    void startOrder(std::size_t index, RankOrder order, SteadyTime now);
    bool hasAllStatuses() const;
    void invalidateStatus(RankState &rank, SteadyTime minStatusTime);
    void finish(State state, std::string reason);

    RankControl &m_control;
    RecoveryPlan m_plan;
    AllocateMapNumber m_allocateMapNumber;
    std::vector<RankState> m_ranks;
    std::size_t m_secondHoldRank = 0; ///< the rank at which this recovery holds the pass
    bool m_isConfirmingSecondHold = false;
    SteadyTime m_secondHoldConfirmedAt{}; ///< the last time at which this recovery's hold is known to have existed
    SteadyTime m_nextConfirmationAt{}; ///< the second hold is not checked again before
    bool m_hasRepeatedFencing = false;
    std::unique_ptr<OrderBatch> m_orders;
    std::shared_ptr<int> m_alive; ///< expired for answers that arrive after the recovery has ended
    Phase m_phase = Phase::ReadingStatuses;
    State m_state = State::Running;
    std::string m_reason;
    SteadyTime m_startedAt{};
};

} // namespace Heatherridge
