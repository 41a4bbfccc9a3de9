#pragma once

#include "heatherridge_coordination/groups/demandsampler.h"
#include "heatherridge_coordination/groups/groupassignment.h"
#include "heatherridge_coordination/groups/holdrecovery.h"
#include "heatherridge_coordination/groups/mapswitch.h"
#include "heatherridge_coordination/groups/rankmonitor.h"
#include "heatherridge_coordination/groups/rebalancertakeover.h"
#include "heatherridge_state/groups/controlbudget.h"
#include "heatherridge_state/groups/evenplacement.h"
#include "heatherridge_state/routing/routingconfig.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** Settings of an ExpertRebalancer that depend on the deployment. */
struct ExpertRebalancerOptions
{
    /**
     * Interval between rounds of reading the ranks' expert counts. A shorter interval reacts sooner to a jump in
     * demand, but each reading costs bandwidth and pauses its group for half a millisecond per rank.
     */
    std::chrono::milliseconds countPeriod{175};
    /** Interval between status requests to every rank, for holds, new epochs and load. */
    std::chrono::milliseconds statusPeriod{400};
    /** Fraction of a pass's expert time that a switch must save. */
    double minGain = 0.06;
    /** The same while passes are short: copies still cost time, and callers would notice no gain. */
    double minGainWhenCalm = 0.4;
    /** A pass is short if it takes at most this fraction of the pause between events that callers are promised. */
    double shortPassFraction = 0.5;
    /** How long demand typically stays stable, for weighing the cost of copies against what they save. */
    std::chrono::milliseconds demandStablePeriod{2'000};
    /** Experts of a set that a rank may copy for one switch; with fewer the switch completes sooner. */
    std::size_t maxCopiesPerRank = 2;
    /** How much requests to ranks may cost, and which ranks are near. */
    ControlBudget budget{{}, 0};
};

/** Callbacks of an ExpertRebalancer. */
struct ExpertRebalancerEvents
{
    /** Called after new statuses have arrived, with the engines that have changed. */
    std::function<void(std::vector<EngineView> engines)> enginesUpdated{};
    /** Called when a decision was made or an action has ended: the event's name, the group, and the inputs as text. */
    std::function<void(std::string_view event, const GroupName &group, const std::string &details)> decisionMade{};
};

/**
 * Rebalances the experts of one service's groups: measures demand and switches each group to an expert map that spreads
 * the load evenly over its ranks.
 *
 * Log events and the work share `group-keepers` call a rebalancer that is active for a group its keeper. The groups are
 * divided among the processes. Any number of rebalancers may be active for a group at once, as each switch is safe by
 * itself; limiting it to one only saves orders. An inactive one monitors the groups, releases passes that stay held,
 * and takes over when the active one is gone and the log is unreachable, see RebalancerTakeover. One thread; driven by
 * tick().
 */
class ExpertRebalancer
{
public:
    /**
     * A pass that is held this long without a switch of this rebalancer is recovered; a complete switch takes half of
     * it.
     */
    static constexpr std::chrono::milliseconds ForeignHoldTimeout{1'200};

    /**
     * The same once the group has reached the held pass and stands still. Switches release before that, unless most of
     * their orders get lost.
     */
    static constexpr std::chrono::milliseconds StandstillTimeout{550};

    /**
     * What inactive rebalancers wait in addition, so that they do not interfere with the active one, and the width of a
     * random delay on top, so that they do not interfere with each other. There may temporarily be no active one: after
     * the holder of the share has stopped, nobody is given the share before its lease has expired.
     */
    static constexpr std::chrono::milliseconds InactiveExtraDelay{150};
    static constexpr std::chrono::milliseconds InactiveJitterWidth{450};

    /**
     * An unconfirmed rebalancer waits this long for another to show up before it continues: whoever takes over starts
     * within this time.
     */
    static constexpr std::chrono::milliseconds UnconfirmedYieldPeriod{1'500};

    /**
     * An unconfirmed rebalancer leaves a group unbalanced this long before each switch: a rebalancer that has taken
     * over reads the same demand within one countPeriod, and the map that it prepares is seen within one statusPeriod.
     */
    static constexpr std::chrono::milliseconds UnconfirmedSwitchDelay{900};

    /** A group counts as unattended when no rebalancer has read its demand for this time. */
    static constexpr std::chrono::milliseconds UnattendedTimeout{5'000};
    /** How long a rebalancer attends to such a group before it checks again whether the home zone has one. */
    static constexpr std::chrono::milliseconds AttendanceTerm{30'000};

    ExpertRebalancer(RankControl &control, ExpertRebalancerOptions options, ExpertRebalancerEvents events,
                     const Clock &clock, std::function<std::uint64_t()> randomBits);

    /**
     * Sets the targets of the service and the profile of its engines.
     * @param longestPause between the events of a stream, as promised to callers
     */
    void setTargets(const std::vector<TargetEntry> &targets, const EngineProfile &profile,
                    std::chrono::milliseconds longestPause);

    /**
     * Sets for which groups this rebalancer measures demand and switches maps.
     * @param isConfirmed false while it cannot know whether another has taken over; it then yields to any other that it
     * detects
     */
    void setActive(const GroupPredicate &isAssigned, bool isConfirmed);

    /** Sets the estimated numbers of processes that monitor the same engines. */
    void setPollers(const PollerCounts &pollers);

    /** Performs all actions that are due. */
    void tick(SteadyTime now);

    /**
     * Returns the highest load of a rank over the mean load, by the last reading and the present layouts; the maximum
     * over all groups, 0 when unknown.
     */
    double lastSkew() const;

private:
    /** The answers to one round of requests for the experts of a group's ranks. */
    struct ExpertReading
    {
        std::vector<TargetName> ranks{};
        std::vector<std::optional<RankExperts>> experts{}; ///< by rank
        std::size_t pendingAnswers = 0; ///< answers that have not arrived yet
    };

    /** The state of one group. */
    struct GroupState
    {
        std::optional<ExpertLayout> layout{}; ///< of the map in use
        MapNumber layoutMap{};
        std::uint64_t layoutSinceStep =
            0; ///< the pass from which `layoutMap` is in use, if this rebalancer switched to it
        SteadyTime jitterDrawnForHoldSince{}; ///< the start of the hold that `holdTimeoutJitter` was drawn for
        std::chrono::milliseconds holdTimeoutJitter{}; ///< of an inactive rebalancer, for the present hold
        std::chrono::milliseconds recoveryBackoff{0}; ///< upper bound of the random delay before the next attempt
        SteadyTime recoveryNotBefore{};
        bool isReadingExperts = false;
        bool needsEvaluation = false; ///< demand or layout has changed since a switch was last considered
        std::unique_ptr<MapSwitch> mapSwitch{};
        std::unique_ptr<HoldRecovery> recovery{};
        std::optional<MapSwitchPlan> pendingPlan{}; ///< a switch that waits for fresh statuses
        SteadyTime statusesRequestedAt{}; ///< when the fresh statuses were requested
        SteadyTime noSwitchBefore{}; ///< no switch starts earlier
        bool isAssigned = false; ///< to this rebalancer
        ZoneName homeZone{};
        SteadyTime attendedUntil{}; ///< by this rebalancer, though no rebalancer of the home zone has shown up
        RebalancerTakeover takeover{};
        bool hasSeenOther = false; ///< a map of another rebalancer was seen since the share became unconfirmed
        MapNumber highestKnownMap{}; ///< that was seen while the share was confirmed
        std::optional<SteadyTime> imbalancedSince{}; ///< since when a switch is worthwhile but has not started
        SteadyTime lossyUntil{}; ///< orders were lost; until then only switches with a large gain
        SteadyTime switchStartedAt{};
        double skewBefore = 0;
        double skewAfter = 0;
    };

    /** The numbers that one recovery has given to fences: of one generation, unless a rank has had higher ones. */
    struct FenceNumbers
    {
        std::uint64_t generation = 0;
        std::set<int> ranks{}; ///< that have been given one
    };

    void membershipChanged(const GroupName &name);
    /** Drops what is in progress for a group that has changed or does not answer, also between its orders. */
    void dropActions(const GroupName &name, GroupState &group);
    void statusReceived(const GroupName &name, const RankStatus &status);
    /**
     * Ends a switch that does not hold its group yet once another process rebalances the group: that one prepares maps
     * of its own, and this one would hold the group for ranks that can't be armed any more.
     */
    void abandonForSuccessor(const GroupName &name, GroupState &group);
    void updateGroup(const GroupName &name, GroupState &group, SteadyTime now);
    void checkHold(const GroupName &name, GroupState &group, SteadyTime now);
    bool isHoldAbandoned(GroupState &group, const MonitoredGroup &monitored, SteadyTime now) const;
    void updateSwitch(const GroupName &name, GroupState &group, SteadyTime now);
    bool isAnotherGroupHeld(const GroupState &group) const;
    void updateRecovery(const GroupName &name, GroupState &group, SteadyTime now);
    void readExperts(const GroupName &name, GroupState &group);
    void assembleLayout(const GroupName &name, const ExpertReading &reading);
    void handleNewDemand();
    std::vector<TargetEntry> ranksToSample() const;
    void addLeadingRanks(std::vector<TargetEntry> &asked) const;
    void evaluateSwitch(const GroupName &name, GroupState &group, SteadyTime now);
    bool isSwitchPassPending(const GroupState &group, const MonitoredGroup &monitored) const;
    RankSlowness slownessOf(const MonitoredGroup &monitored) const;
    void startSwitch(const GroupName &name, GroupState &group, SteadyTime now);
    void checkTakeover(SteadyTime now);
    GroupState &stateOf(const GroupName &name);
    void updateAssignment(const GroupName &name, GroupState &group);
    bool isUnattended(const GroupName &name, const GroupState &group) const;
    static bool isRebalancing(const GroupState &group);
    bool isRebalancingAny() const;
    void updateFullRate();
    void recordKnownMap(const GroupName &name, GroupState &group) const;
    void detectOtherRebalancer(GroupState &group, const RankStatus &status) const;
    bool mustYield(const GroupState &group, SteadyTime now) const;
    bool mustDelayUnconfirmedSwitch(const GroupState &group, SteadyTime now) const;
    MapNumberFields nextSwitchFields(const MonitoredGroup &monitored, const MapSwitchPlan &plan) const;
    MapNumber allocateFenceNumber(const GroupName &name, const RankStatus &status, FenceNumbers &fences);
    std::uint64_t generationByClock() const;
    MapNumber recordOwnNumber(const GroupName &name, MapNumber number);
    void reportDecision(std::string_view event, const GroupName &group, const std::string &details) const;

    RankControl &m_control;
    ExpertRebalancerOptions m_options;
    ExpertRebalancerEvents m_events;
    const Clock &m_clock;
    std::function<std::uint64_t()> m_randomBits;
    std::chrono::milliseconds m_longestPause{};
    EngineProfile m_profile;
    RankMonitor m_rankMonitor;
    std::size_t m_rankCount = 0; ///< of all groups
    std::map<GroupName, GroupState> m_groups;
    DemandSampler m_demandSampler;
    GroupPredicate m_isAssigned = [](const GroupToAssign &) { return false; };
    bool m_isConfirmed = true;
    SteadyTime m_now{}; ///< of the last tick
    SteadyTime m_unconfirmedSince{};
    std::set<MapNumber> m_ownMapNumbers; ///< numbers of the maps that this rebalancer has made ranks prepare
    double m_lastSkew = 0;
    std::shared_ptr<int> m_alive;
};

} // namespace Heatherridge
