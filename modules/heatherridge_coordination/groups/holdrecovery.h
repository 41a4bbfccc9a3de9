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
    enum class End {
        Running,
        Released, ///< by this recovery
        Gone, ///< nothing is held any more
        LeftToOther, ///< another recovery is under way
        Failed, ///< ranks don't answer; to be tried again
    };

    /** A recovery that takes longer starts anew, if there is still need. */
    static constexpr std::chrono::milliseconds Patience{5'000};
    /** A rank that did not answer is asked again after this: a round trip many times over. */
    static constexpr std::chrono::milliseconds AskAgainPause{250};

    /** Draws a number of a map, above @p seen, that no rank has had and no one else uses. */
    using DrawNumber = std::function<MapNumber(MapNumber seen)>;

    HoldRecovery(RankControl &control, RecoveryPlan plan, DrawNumber drawNumber);

    /** Does what is due. */
    void tick(SteadyTime now);

    /** How it stands. */
    End end() const;

    /** Why it failed or had nothing to do. */
    const std::string &reason() const;

private:
    enum class Phase {
        Looking,
        Guarding, ///< holds the pass at a second rank
        Fencing,
        Verifying,
        Releasing,
        Over,
    };

    /** One rank on its way to being fenced. */
    struct Rank
    {
        std::optional<RankStatus> status{};
        std::optional<RankExperts> experts{};
        bool isAsking = false;
        SteadyTime notBefore{};
        SteadyTime freshFrom{}; ///< a status that may be older tells nothing
        std::unique_ptr<OrderBatch> orders{}; ///< one order at a time
        std::optional<MapNumber> fence{}; ///< the map that it was made to prepare
        bool isFenced = false;
        std::optional<SteadyTime> armedSeen{}; ///< since when a map is seen armed that is to be taken back
    };

    void look(std::size_t index, SteadyTime now);
    void lookAtAll(SteadyTime now);
    void guard(SteadyTime now);
    void guarded(SteadyTime now);
    void fenceAll(SteadyTime now);
    void fence(std::size_t index, SteadyTime now);
    void orderEnded(Rank &rank, SteadyTime now);
    void disarmOrPrepare(std::size_t index, SteadyTime now);
    void disarm(std::size_t index, SteadyTime now);
    void askGuard(SteadyTime now);
    void readExperts(std::size_t index, SteadyTime now);
    void verify(SteadyTime now);
    bool isSound(std::size_t index) const;
    bool isOtherUnderWay() const;
    void fenceAgain(SteadyTime now);
    void release(SteadyTime now);
    void give(std::size_t index, RankOrder order, SteadyTime now);
    bool allLooked() const;
    void forgetStatus(Rank &rank, SteadyTime freshFrom);
    void finish(End end, std::string reason);

    RankControl &m_control;
    RecoveryPlan m_plan;
    DrawNumber m_drawNumber;
    std::vector<Rank> m_ranks;
    std::size_t m_guard = 0; ///< the rank at which this recovery holds the pass
    bool m_isAskingGuard = false;
    SteadyTime m_guardSeen{}; ///< until when this recovery's hold is known to have stood
    SteadyTime m_guardNotBefore{}; ///< the guard is not asked again before
    bool m_hasFencedAgain = false;
    std::unique_ptr<OrderBatch> m_round;
    std::shared_ptr<int> m_alive; ///< answers that come after the end find it gone
    Phase m_phase = Phase::Looking;
    End m_end = End::Running;
    std::string m_reason;
    SteadyTime m_began{};
};

} // namespace Heatherridge
