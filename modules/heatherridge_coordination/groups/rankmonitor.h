#pragma once

#include "heatherridge_coordination/groups/rankcontrol.h"
#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/groups/controlbudget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** One engine as its status tells, for whoever places requests. */
struct EngineView
{
    TargetName target{};
    GroupName group{};
    bool isOpen = false; ///< its group works
    int running = 0; ///< requests of all senders
    int waiting = 0;
    double pace = 1; ///< over 1: it takes so many times as long as usual
    std::chrono::milliseconds passTime{}; ///< of its group, measured
    SteadyTime requestedAt{}; ///< when it was asked
};

/** One group as its ranks' statuses tell. */
struct MonitoredGroup
{
    std::vector<TargetName> ranks{}; ///< by rank; null names where nobody has spoken
    std::uint64_t epoch = 0;
    bool isOpen = false; ///< all ranks are known and say so
    MapNumber highestMap{}; ///< of all numbers seen at its ranks, or noted
    std::uint64_t lastHeldStep = 0; ///< the last pass of this epoch that was seen held, or noted
    std::uint64_t lastStep = 0; ///< the last pass that was begun
    SteadyTime lastStepAt{}; ///< when a status first showed it
    std::chrono::milliseconds passTime{50};
    std::optional<std::chrono::milliseconds>
        countsRequestedAgo{}; ///< a keeper last asked rank 0 for its counts, as it told
    SteadyTime countsRequestReportedAt{}; ///< when rank 0 told that
    std::optional<std::uint64_t> heldStep{};
    SteadyTime heldSince{};
    std::optional<SteadyTime> standstillSince{}; ///< the pass before the held one is seen to be the last that was begun
};

/**
 * Asks the engines of one service for their statuses again and again, and puts them together to groups.
 *
 * A status says what one rank is; which ranks make up a group, whether it works, how long its passes are and whether it
 * stands still follows from all of them. An engine that stays silent is forgotten after two seconds, or after two
 * questions if these are further apart: its rank is empty until somebody speaks for it. Ranks of other zones are asked
 * as seldom as the budget has it, but for those at which passes are held. One thread; moved on by tick().
 */
class RankMonitor
{
public:
    struct Events
    {
        /** The group has other ranks, or has formed anew. */
        std::function<void(const GroupName &group)> membershipChanged{};
        /** A rank of the group has spoken; the group is up to date. */
        std::function<void(const GroupName &group, const RankStatus &status)> statusReceived{};
    };

    struct Options
    {
        std::chrono::milliseconds period{400}; ///< between statuses of a near rank of a group that is at work
        ControlBudget budget{{}, 0};
    };

    /** Uses @p control, which must outlive it. */
    RankMonitor(RankControl &control, Options options, Events events);

    /** The engines to watch. */
    void setTargets(const std::vector<TargetEntry> &targets);

    /** Whether all ranks are asked like near ones: who switches maps has to know each. */
    void setFullRate(bool isFullRate);

    /** Asks when it is time. */
    void tick(SteadyTime now);

    /** Asks the ranks of @p group at once. */
    void requestStatuses(const MonitoredGroup &group, SteadyTime now);

    /** All groups that were ever seen. */
    const std::map<GroupName, MonitoredGroup> &groups() const;

    /** The group @p name; an empty one when it was never seen. */
    const MonitoredGroup &group(const GroupName &name) const;

    /** The last status of @p target; null when there is none, or not any more. */
    const RankStatus *statusOf(const TargetName &target) const;

    /** Whether all ranks of @p group are known and work. */
    bool isOperational(const MonitoredGroup &group) const;

    /** Whether all statuses of @p group were asked for at @p time or later. */
    bool hasStatusesSince(const MonitoredGroup &group, SteadyTime time) const;

    /** The ranks of @p group, which must be whole. */
    std::vector<TargetEntry> targetsOf(const MonitoredGroup &group) const;

    /** Keeps in mind that @p number was given to a map of @p name. */
    void recordMapNumber(const GroupName &name, MapNumber number);

    /** Keeps in mind that pass @p step of @p name was held. */
    void recordHeldStep(const GroupName &name, std::uint64_t step);

    /** All engines that have ever spoken; nothing when no status has come since the last call. */
    std::optional<std::vector<EngineView>> takeUpdates();

private:
    struct MonitoredEngine
    {
        TargetEntry target{};
        std::optional<RankStatus> status{};
        GroupName lastGroup{}; ///< null while it has never spoken, or is in none
        SteadyTime requestedAt{};
        SteadyTime statusRequestedAt{}; ///< when the last status that came was asked for
        int missedStatuses = 0; ///< statuses in a row that did not come
        bool isRequestPending = false;
    };

    void requestStatus(MonitoredEngine &engine, SteadyTime now);
    void applyStatus(MonitoredEngine &engine, const RankStatus &status, SteadyTime now);
    void handleMissedStatus(MonitoredEngine &engine, const Error &error);
    void rebuildGroup(const GroupName &name);
    std::vector<TargetName> ranksOf(const GroupName &name, std::uint64_t epoch) const;
    void updateHold(MonitoredGroup &group, SteadyTime now) const;
    static void updatePassTime(MonitoredGroup &group, const RankStatus &status, SteadyTime now);
    static void updateCountsRequest(MonitoredGroup &group, const RankStatus &status, SteadyTime now);
    bool isSettled() const;
    bool isPolledClosely(const MonitoredEngine &engine) const;
    std::chrono::milliseconds pollPeriodOf(const MonitoredEngine &engine) const;
    int missesUntilLost(const MonitoredEngine &engine) const;
    bool acceptsStreams(const MonitoredGroup &group) const;

    RankControl &m_control;
    Options m_options;
    Events m_events;
    std::map<TargetName, MonitoredEngine> m_engines;
    std::map<GroupName, MonitoredGroup> m_groups;
    std::chrono::milliseconds m_farPeriod{};
    bool m_isFullRate = false;
    bool m_hasUpdates = false; ///< statuses that news() has not told of
    std::shared_ptr<int> m_alive;
};

} // namespace Heatherridge
