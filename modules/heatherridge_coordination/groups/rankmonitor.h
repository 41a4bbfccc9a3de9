#pragma once

#include "heatherridge_coordination/groups/rankcontrol.h"
#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/groups/controlbudget.h"
#include "heatherridge_state/groups/mapnumbering.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Heatherridge
{

/** One engine as last reported by its status, for the code that places requests. */
struct EngineView
{
    TargetName target{};
    GroupName group{};
    bool isGroupOpen = false; ///< its group accepts streams
    bool isOpen = false; ///< so does the engine itself
    int running = 0; ///< requests of all senders
    int waiting = 0;
    double pace = 1; ///< over 1: it takes this many times as long as usual
    std::chrono::milliseconds passTime{}; ///< of its group, measured
    SteadyTime requestedAt{}; ///< when its status was last requested
};

/** One group as reported by the statuses of its ranks. */
struct MonitoredGroup
{
    std::vector<TargetName> ranks{}; ///< by rank; null names for ranks that have not reported
    std::uint64_t epoch = 0;
    bool isOpen = false; ///< all ranks are known and report that the group is operating
    MapNumber highestMap{}; ///< of all numbers seen at its ranks or recorded by recordMapNumber()
    std::uint64_t lastHeldStep = 0; ///< the last pass of this epoch that was seen held or recorded by recordHeldStep()
    std::uint64_t lastStep = 0; ///< the last pass that was begun
    SteadyTime lastStepAt{}; ///< when a status first showed it
    std::chrono::milliseconds passTime{50};
    std::optional<std::chrono::milliseconds>
        countsRequestedAgo{}; ///< time since a rebalancer last requested counts from rank 0, as rank 0 reported
    SteadyTime countsRequestReportedAt{}; ///< when rank 0 reported that
    std::optional<std::uint64_t> heldStep{};
    SteadyTime heldSince{};
    std::optional<SteadyTime>
        standstillSince{}; ///< since when the pass before the held one is seen to be the last that was begun
};

/**
 * Polls the engines of one service for their statuses and derives the state of their groups.
 *
 * A status describes one rank; which ranks form a group, whether it operates, how long its passes take and whether it
 * stands still follows from the statuses of all of them. An engine that does not answer is dropped after two seconds,
 * or after two requests if these are further apart: its rank is empty until another engine reports it. Ranks of other
 * availability zones are polled as rarely as the budget demands, those at which passes are held more often. Ranks of
 * the own zone are polled at the base period unless many processes share it; then only those at which passes are held,
 * those of groups that this process rebalances and those that have missed a change of their group. One thread; driven
 * by tick().
 */
class RankMonitor
{
public:
    struct Events
    {
        /** Called when the ranks of the group have changed, or it has formed anew in another epoch. */
        std::function<void(const GroupName &group)> membershipChanged{};
        /** Called when a rank of the group has reported a status, after the group was updated. */
        std::function<void(const GroupName &group, const RankStatus &status)> statusReceived{};
    };

    struct Options
    {
        std::chrono::milliseconds period{400}; ///< between status requests to a near rank while all groups operate
        ControlBudget budget{{}, 0};
    };

    /** Uses @p control, which must outlive it. */
    RankMonitor(RankControl &control, Options options, Events events);

    /** Sets the engines to monitor. */
    void setTargets(const std::vector<TargetEntry> &targets);

    /**
     * Sets the groups whose ranks are all polled as often as near ones: a rebalancer that switches maps of a group has
     * to know each of its ranks.
     */
    void setFullRateGroups(std::set<GroupName> groups);

    /** Sets the estimated numbers of processes that poll the same engines. */
    void setPollers(const PollerCounts &pollers);

    /** Sends the status requests that are due. */
    void tick(SteadyTime now);

    /** Requests the statuses of the ranks of @p group immediately. */
    void requestStatuses(const MonitoredGroup &group, SteadyTime now);

    /** Returns all groups that were ever seen. */
    const std::map<GroupName, MonitoredGroup> &groups() const;

    /** Returns the group @p name; an empty one if it was never seen. */
    const MonitoredGroup &group(const GroupName &name) const;

    /** Returns the last status of @p target; null if there is none, or it was dropped. */
    const RankStatus *statusOf(const TargetName &target) const;

    /** Returns whether all ranks of @p group are known and operating. */
    bool isOperational(const MonitoredGroup &group) const;

    /** Returns whether all statuses of @p group were requested at @p time or later. */
    bool hasStatusesSince(const MonitoredGroup &group, SteadyTime time) const;

    /** Returns the availability zone of most of the known ranks of @p group; the null name if none is known. */
    ZoneName homeZoneOf(const MonitoredGroup &group) const;

    /** Returns the ranks of @p group, which must be operational. */
    std::vector<TargetEntry> targetsOf(const MonitoredGroup &group) const;

    /** Records that @p number was given to a map of group @p name. */
    void recordMapNumber(const GroupName &name, MapNumber number);

    /** Returns which passes were or may be held by any process, by the map which the rank of @p status has prepared. */
    static HeldStepBounds heldStepBoundsOf(const RankStatus &status);

    /** Records that pass @p step of group @p name was held. */
    void recordHeldStep(const GroupName &name, std::uint64_t step);

    /**
     * Returns the engines that have reported a status, were dropped, or whose group has opened or closed since the last
     * call. In a large service these are few of all engines.
     */
    std::vector<EngineView> takeUpdates();

private:
    struct MonitoredEngine
    {
        TargetEntry target{};
        std::optional<RankStatus> status{};
        GroupName lastGroup{}; ///< null if it has never reported a status, or is in no group
        SteadyTime requestedAt{};
        SteadyTime statusRequestedAt{}; ///< when the last status that arrived was requested
        int missedStatuses = 0; ///< consecutive status requests without an answer
        bool isRequestPending = false;
        bool hasUpdate = false; ///< that takeUpdates() has not returned yet
        bool wasOpen = false; ///< as last returned by takeUpdates()
    };

    void requestStatus(MonitoredEngine &engine, SteadyTime now);
    void applyStatus(MonitoredEngine &engine, const RankStatus &status, SteadyTime now);
    void handleMissedStatus(MonitoredEngine &engine, const Error &error);
    void rebuildGroup(const GroupName &name);
    std::vector<TargetName> ranksOf(const GroupName &name, std::uint64_t epoch) const;
    void updateHold(MonitoredGroup &group, SteadyTime now) const;
    static void updatePassTime(MonitoredGroup &group, const RankStatus &status, SteadyTime now);
    static void updateCountsRequest(MonitoredGroup &group, const RankStatus &status, SteadyTime now);
    bool isSettled(const GroupName &group) const;
    void updatePeriods();
    bool isOutdated(const MonitoredEngine &engine) const;
    std::chrono::milliseconds pollPeriodOf(const MonitoredEngine &engine) const;
    int missesUntilLost(const MonitoredEngine &engine) const;
    bool acceptsStreams(const MonitoredGroup &group) const;
    EngineView viewOf(const MonitoredEngine &engine, bool isGroupOpen) const;

    RankControl &m_control;
    Options m_options;
    Events m_events;
    std::map<TargetName, MonitoredEngine> m_engines;
    std::map<GroupName, MonitoredGroup> m_groups;
    std::size_t m_farCount = 0; ///< engines in other zones
    PollerCounts m_pollers;
    std::chrono::milliseconds m_nearPeriod{};
    std::chrono::milliseconds m_farPeriod{};
    std::chrono::milliseconds m_farHolderPeriod{}; ///< of ranks in other zones at which passes are held
    std::set<GroupName> m_fullRateGroups;
    bool m_hasUpdates = false; ///< whether takeUpdates() may have something to return
    std::shared_ptr<int> m_alive;
};

} // namespace Heatherridge
