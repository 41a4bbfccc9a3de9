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
    std::uint64_t heldStep = 0; ///< the pass that is not begun
    std::size_t experts = 0; ///< in each set
    bool mayJoin = true; ///< false: it ends at once when another recovery is seen to be under way
};

/**
 * Lets a group go on that somebody holds and does not release: a process that died, was paused or cut off in the midst
 * of a switch, or this one when its switch got stuck.
 *
 * A hold has no end of its own. Released as it stands, with some ranks armed and others not, the group would use two
 * maps. And the process that holds it may only be slow: it can still send its release, or have sent it. So the pass is
 * first held a second time, at another rank; from then on only recoveries can let it go. Then each rank is disarmed and
 * made to prepare a map that nobody will ever arm. That copies nothing, but replaces the map that was to be armed, so
 * that an order to arm it which comes late is refused. Once all ranks are seen to have these maps, nothing is armed and
 * nothing can be; then the pass is released at all ranks.
 *
 * Any number of processes may recover one group, and switches may begin meanwhile. A map that one of them prepares
 * behind the back of this recovery is seen before the release; then it ends, to be tried again after a drawn pause. A
 * map that is armed is taken back only when this recovery's hold is seen to stand later than it was seen armed: another
 * recovery that ended while this process was paused has let the hold go, and what is armed then belongs to a new
 * switch. One thread; moved on by tick() alone.
 */
class HoldRecovery
{
public:
    /** How it stands. */
    enum class State {
        Running,
        Released, ///< by this recovery
        NothingHeld, ///< nothing is held any more
        YieldedToOther, ///< another recovery is under way
        Failed, ///< ranks don't answer; to be tried again
    };

    /** A recovery that takes longer starts anew, if there is still need. */
    static constexpr std::chrono::milliseconds Timeout{5'000};
    /** A rank that did not answer is asked again after this: a round trip many times over. */
    static constexpr std::chrono::milliseconds RetryDelay{250};

    /** Draws a number of a map, above @p seen, that no rank has had and no one else uses. */
    using AllocateMapNumber = std::function<MapNumber(MapNumber seen)>;

    HoldRecovery(RankControl &control, RecoveryPlan plan, AllocateMapNumber allocateMapNumber);

    /** Does what is due. */
    void tick(SteadyTime now);

    /** How it stands. */
    State state() const;

    /** Why it failed or had nothing to do. */
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

    /** One rank on its way to being fenced. */
    struct RankState
    {
        std::optional<RankStatus> status{};
        std::optional<RankExperts> experts{};
        bool isQueryPending = false;
        SteadyTime nextQueryAt{};
        SteadyTime minStatusTime{}; ///< a status that may be older tells nothing
        std::unique_ptr<OrderBatch> pendingOrder{}; ///< one order at a time
        std::optional<MapNumber> fenceMap{}; ///< the map that it was made to prepare
        bool isFenced = false;
        std::optional<SteadyTime> armedSince{}; ///< since when a map is seen armed that is to be taken back
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
    SteadyTime m_secondHoldConfirmedAt{}; ///< until when this recovery's hold is known to have stood
    SteadyTime m_nextConfirmationAt{}; ///< the guard is not asked again before
    bool m_hasRepeatedFencing = false;
    std::unique_ptr<OrderBatch> m_orders;
    std::shared_ptr<int> m_alive; ///< answers that come after the end find it gone
    Phase m_phase = Phase::ReadingStatuses;
    State m_state = State::Running;
    std::string m_reason;
    SteadyTime m_startedAt{};
};

} // namespace Heatherridge
