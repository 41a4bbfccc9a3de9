#pragma once

#include "heatherridge_coordination/groups/demandsampler.h"
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

/** How a ExpertRebalancer works; what is weighed differently by each deployment. */
struct ExpertRebalancerOptions
{
    /** Between readings of what was chosen. Shorter follows a jump sooner; each reading is paid for and pauses its
     * group by half a millisecond a rank. */
    std::chrono::milliseconds countPeriod{175};
    /** Between looks at every rank, for holds, new epochs and load. */
    std::chrono::milliseconds statusPeriod{400};
    /** How much of a pass's expert time a switch must save. */
    double minGain = 0.06;
    /** The same while passes are short: copies are paid for, and callers would notice nothing. */
    double minGainWhenCalm = 0.4;
    /** Passes up to this part of the promised pause between events are short. */
    double shortPassFraction = 0.5;
    /** How long demand usually stands still, for weighing copies against what they save. */
    std::chrono::milliseconds demandStablePeriod{2'000};
    /** Experts of a set that a rank may copy for one switch; fewer make the switch sooner. */
    std::size_t maxCopiesPerRank = 2;
    /** What asking ranks may cost, and which of them are near. */
    ControlBudget budget{{}, 0};
};

/** What a keeper tells. */
struct ExpertRebalancerEvents
{
    /** Statuses have come: all engines whose status is known. */
    std::function<void(std::vector<EngineView> engines)> enginesUpdated{};
    /** Something was decided or ended: what, at which group, and the inputs as text. */
    std::function<void(std::string_view event, const GroupName &group, const std::string &details)> decisionMade{};
};

/**
 * Keeps the expert maps of one service's groups even, as their only active keeper or beside others.
 *
 * Any number of keepers may be active: each switch is safe by itself. That one is active at a time only saves orders.
 * An inactive one only watches, lets go of passes that stay held, and takes over when the active one is gone and the
 * log out, see RebalancerTakeover. One thread; tick() moves it on.
 */
class ExpertRebalancer
{
public:
    /** A pass that stays held for so long without a switch of this keeper is let go: whole switches take half. */
    static constexpr std::chrono::milliseconds ForeignHoldTimeout{1'200};

    /** The same once the group has come to the held pass and stands still. Switches let go before that, unless most of
     * their orders get lost. */
    static constexpr std::chrono::milliseconds StandstillTimeout{550};

    /** What inactive keepers wait beyond it, so that they don't hinder the active one, and the width of a draw on top,
     * so that they don't hinder each other. For a while there is no active one: the holder has stopped, and nobody has
     * its share before its lease is over. */
    static constexpr std::chrono::milliseconds InactiveExtraDelay{150};
    static constexpr std::chrono::milliseconds InactiveJitterWidth{450};

    /** An unconfirmed keeper waits so long for another to show before it goes on: whoever takes over begins within it.
     */
    static constexpr std::chrono::milliseconds UnconfirmedYieldPeriod{1'500};

    /** An unconfirmed keeper leaves a group uneven for so long before each switch: whoever has taken over reads the
     * same demand within a period of counts, and what it prepares is seen within a period of statuses. */
    static constexpr std::chrono::milliseconds UnconfirmedSwitchDelay{900};

    ExpertRebalancer(RankControl &control, ExpertRebalancerOptions options, ExpertRebalancerEvents events,
                     const Clock &clock, std::function<std::uint64_t()> randomBits);

    /**
     * The targets of the service and how its engines work.
     * @param longestPause between the events of its streams, that is promised to callers
     */
    void setTargets(const std::vector<TargetEntry> &targets, const EngineProfile &profile,
                    std::chrono::milliseconds longestPause);

    /**
     * Whether this keeper measures and switches.
     * @param isConfirmed false while it cannot know whether another has taken over; then it gives way to any that shows
     */
    void setActive(bool isActive, bool isConfirmed);

    /** Does what is due. */
    void tick(SteadyTime now);

    /** Most loaded over mean, as the last reading and the present layout say, over all groups; 0 when unknown. */
    double lastSkew() const;

private:
    /** What one round of questions for the experts of a group's ranks has brought. */
    struct ExpertReading
    {
        std::vector<TargetName> ranks{};
        std::vector<std::optional<RankExperts>> experts{}; ///< by rank
        std::size_t pendingAnswers = 0; ///< answers
    };

    /** What this keeper does about one group. */
    struct GroupState
    {
        std::optional<ExpertLayout> layout{}; ///< of the map in use
        MapNumber layoutMap{};
        std::uint64_t layoutSinceStep = 0; ///< the pass from which `layoutMap` is in use, where this keeper switched
        SteadyTime jitterDrawnForHoldSince{}; ///< the beginning of the hold that `patienceDraw` is for
        std::chrono::milliseconds holdTimeoutJitter{}; ///< this time's, of an inactive keeper
        std::chrono::milliseconds recoveryBackoff{0}; ///< longest pause before the next try
        SteadyTime recoveryNotBefore{};
        bool isReadingExperts = false;
        bool needsEvaluation = false; ///< demand or layout have changed since a switch was last considered
        std::unique_ptr<MapSwitch> mapSwitch{};
        std::unique_ptr<HoldRecovery> recovery{};
        std::optional<MapSwitchPlan> pendingPlan{}; ///< a switch that waits for fresh statuses
        SteadyTime statusesRequestedAt{}; ///< when fresh statuses were asked for
        SteadyTime noSwitchBefore{}; ///< no switch before
        std::optional<SteadyTime> imbalancedSince{}; ///< a switch is worth it, and has not begun
        SteadyTime lossyUntil{}; ///< orders got lost; only switches with great gains until then
        SteadyTime switchStartedAt{};
        double skewBefore = 0;
        double skewAfter = 0;
    };

    void membershipChanged(const GroupName &name);
    void statusReceived(const GroupName &name, const RankStatus &status);
    void updateGroup(const GroupName &name, GroupState &group, SteadyTime now);
    void checkHold(const GroupName &name, GroupState &group, SteadyTime now);
    bool isHoldAbandoned(GroupState &group, const MonitoredGroup &seen, SteadyTime now);
    void updateSwitch(const GroupName &name, GroupState &group, SteadyTime now);
    bool isAnotherGroupHeld(const GroupState &group) const;
    void updateRecovery(const GroupName &name, GroupState &group, SteadyTime now);
    void readExperts(const GroupName &name, GroupState &group);
    void assembleLayout(const GroupName &name, const ExpertReading &reading);
    void handleNewDemand();
    std::vector<TargetEntry> ranksToSample() const;
    void addLeadingRanks(std::vector<TargetEntry> &asked) const;
    void evaluateSwitch(const GroupName &name, GroupState &group, SteadyTime now);
    bool isSwitchPassPending(const GroupState &group, const MonitoredGroup &seen) const;
    RankSlowness slownessOf(const MonitoredGroup &seen) const;
    void startSwitch(const GroupName &name, GroupState &group, SteadyTime now);
    void checkTakeover(SteadyTime now);
    bool isRebalancing() const;
    void recordKnownMaps();
    void detectOtherRebalancer(const RankStatus &status);
    bool mustYield(SteadyTime now) const;
    bool mustDelayUnconfirmedSwitch(const GroupState &group, SteadyTime now) const;
    MapNumber allocateMapNumber(const GroupName &name);
    void reportDecision(std::string_view event, const GroupName &group, const std::string &details) const;

    RankControl &m_control;
    ExpertRebalancerOptions m_options;
    ExpertRebalancerEvents m_events;
    const Clock &m_clock;
    std::function<std::uint64_t()> m_randomBits;
    std::chrono::milliseconds m_longestPause{};
    EngineProfile m_profile;
    RankMonitor m_rankMonitor;
    std::map<GroupName, GroupState> m_groups;
    DemandSampler m_demandSampler;
    bool m_isActive = false;
    bool m_isConfirmed = true;
    RebalancerTakeover m_takeover;
    SteadyTime m_now{}; ///< of the last tick
    SteadyTime m_unconfirmedSince{};
    bool m_hasSeenOther = false; ///< another keeper's map was seen since then
    std::set<MapNumber> m_ownMapNumbers; ///< maps that this keeper has made ranks prepare
    MapNumber m_highestKnownMap{}; ///< of all maps seen while it was confirmed
    double m_lastSkew = 0;
    std::shared_ptr<int> m_alive;
};

} // namespace Heatherridge
