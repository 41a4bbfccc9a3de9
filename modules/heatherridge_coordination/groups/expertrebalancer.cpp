#include "heatherridge_coordination/groups/expertrebalancer.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/** Delay after a failed switch, so that a persistent fault does not cost orders all the time. */
constexpr milliseconds FailureRetryDelay{1'500};
/** Bounds of the delay before a failed recovery is retried; one recovery takes half a second. */
constexpr milliseconds MinRecoveryBackoff{600};
constexpr milliseconds MaxRecoveryBackoff{4'000};
/**
 * A hold of this age is recovered even if another recovery seems to be running: whoever started that one may be gone.
 */
constexpr milliseconds JoinRecoveryAfter{1'700};
/** A switch that needed this many copies of one order indicates that orders get lost. */
constexpr int SendsIndicatingLoss = 3;
/** How long orders are assumed to get lost after that. */
constexpr milliseconds LossyPeriod{4'000};
/** Own map numbers that are remembered: far more than are allocated while a status is in transit. */
constexpr std::size_t MaxOwnMapNumbers = 256;
/** How long a switch waits for the statuses of its ranks. */
constexpr milliseconds StatusTimeout{300};
/** Upper bound of the passes, as time, between the present one and the one that a switch holds. */
constexpr milliseconds MaxHoldMargin{800};
/** Duration of a switch besides copying: statuses, the held pass and its orders. */
constexpr milliseconds SwitchOverhead{150};
/** Upper bound of the copies to one rank for one switch. */
constexpr std::size_t MaxStages = 12;
/** Fraction by which passes take longer while experts are copied, as stated by the vendors of the engines. */
constexpr double CopySlowdown = 0.15;
/** Delay before the next attempt after a switch, or after a status that did not match the expected state. */
constexpr milliseconds SettleDelay{350};
/** Start of the seconds that the generations of map numbers begin with. */
constexpr std::chrono::sys_days MapNumberEpoch = std::chrono::year(2020) / 1 / 1;

std::string formatTwoDecimals(double number)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", number);
    return text.data();
}

} // namespace

ExpertRebalancer::ExpertRebalancer(RankControl &control, ExpertRebalancerOptions options, ExpertRebalancerEvents events,
                                   const Clock &clock, std::function<std::uint64_t()> randomBits)
    : m_control(control)
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_clock(clock)
    , m_randomBits(std::move(randomBits))
    , m_rankMonitor(
          control, {.period = m_options.statusPeriod, .budget = m_options.budget},
          {.membershipChanged = [this](const GroupName &name) { membershipChanged(name); },
           .statusReceived = [this](const GroupName &name, const RankStatus &status) { statusReceived(name, status); }})
    , m_demandSampler(control, m_options.countPeriod)
    , m_alive(std::make_shared<int>(0))
{
}

void ExpertRebalancer::setTargets(const std::vector<TargetEntry> &targets, const EngineProfile &profile,
                                  std::chrono::milliseconds longestPause)
{
    m_longestPause = longestPause;
    m_demandSampler.setModelShape(profile.layerSets, profile.experts);
    m_profile = profile;
    m_rankCount = targets.size();
    m_rankMonitor.setTargets(targets);
}

void ExpertRebalancer::setActive(const GroupPredicate &isAssigned, bool isConfirmed)
{
    m_isAssigned = isAssigned;
    const bool hasChanged = m_isConfirmed != isConfirmed;
    if (hasChanged && !isConfirmed) {
        m_unconfirmedSince = m_now;
    }
    m_isConfirmed = isConfirmed;
    for (auto &[name, group] : m_groups) {
        if (hasChanged) {
            group.takeover.setConfirmed(isConfirmed, m_randomBits());
            if (!isConfirmed) {
                recordKnownMap(name, group);
            }
        }
        updateAssignment(name, group);
    }
    updateFullRate();
}

void ExpertRebalancer::updateAssignment(const GroupName &name, GroupState &group)
{
    GroupToAssign request{.name = name, .homeZone = group.homeZone, .serviceRanks = m_rankCount};
    bool isAssigned = m_isAssigned(request);
    if (!isAssigned && isUnattended(name, group)) {
        // Only an assignment that depends on it lasts for the term: a gateway that leaves its duties must not stay.
        request.isUnattended = true;
        isAssigned = m_isAssigned(request);
        if (isAssigned && m_now >= group.attendedUntil) {
            group.attendedUntil = m_now + AttendanceTerm;
        }
    }
    if (isAssigned) {
        group.takeover.cancel();
    }
    if (std::exchange(group.isAssigned, isAssigned) != isAssigned) {
        reportDecision(isAssigned ? "keeper-active" : "keeper-inactive", name, {});
    }
}

bool ExpertRebalancer::isUnattended(const GroupName &name, const GroupState &group) const
{
    const auto &monitored = m_rankMonitor.group(name);
    const bool hasReport = monitored.countsRequestReportedAt != SteadyTime{};
    const bool isOverdue = hasReport && monitored.countsRequestedAgo.value_or(milliseconds(0)) > UnattendedTimeout;
    return m_now < group.attendedUntil || isOverdue;
}

void ExpertRebalancer::setPollers(const PollerCounts &pollers)
{
    m_rankMonitor.setPollers(pollers);
}

ExpertRebalancer::GroupState &ExpertRebalancer::stateOf(const GroupName &name)
{
    const auto [found, isNew] = m_groups.try_emplace(name);
    auto &group = found->second;
    if (isNew) {
        group.takeover.setConfirmed(m_isConfirmed, m_randomBits());
        updateAssignment(name, group);
        updateFullRate();
    }
    return group;
}

void ExpertRebalancer::updateFullRate()
{
    std::set<GroupName> groups;
    for (const auto &[name, group] : m_groups) {
        if (isRebalancing(group)) {
            groups.insert(name);
        }
    }
    m_rankMonitor.setFullRateGroups(std::move(groups));
}

void ExpertRebalancer::recordKnownMap(const GroupName &name, GroupState &group) const
{
    group.hasSeenOther = false;
    group.highestKnownMap = m_rankMonitor.group(name).highestMap;
}

bool ExpertRebalancer::isRebalancing(const GroupState &group)
{
    return group.isAssigned || group.takeover.hasTakenOver();
}

bool ExpertRebalancer::isRebalancingAny() const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [](const auto &entry) { return isRebalancing(entry.second); });
}

void ExpertRebalancer::checkTakeover(SteadyTime now)
{
    for (auto &[name, group] : m_groups) {
        if (group.isAssigned || !group.takeover.tryTakeOver(m_rankMonitor.group(name), now)) {
            continue;
        }
        updateFullRate();
        recordKnownMap(name, group); // maps prepared by the rebalancer that is gone do not count as another's activity
        reportDecision("keeper-takes-over", name,
                       "no keeper has requested counts, and the log cannot assign the share");
    }
}

void ExpertRebalancer::tick(SteadyTime now)
{
    m_now = now;
    m_rankMonitor.tick(now);
    checkTakeover(now);
    for (auto &[name, group] : m_groups) {
        updateGroup(name, group, now);
    }
    if (isRebalancingAny() && m_demandSampler.tick(now, [this] { return ranksToSample(); })) {
        handleNewDemand();
    }
    for (auto &[name, group] : m_groups) {
        if (isRebalancing(group) && group.needsEvaluation && group.layout
            && m_rankMonitor.isOperational(m_rankMonitor.group(name))) {
            evaluateSwitch(name, group, now);
        }
    }
    if (auto engines = m_rankMonitor.takeUpdates(); !engines.empty() && m_events.enginesUpdated) {
        m_events.enginesUpdated(std::move(engines));
    }
}

double ExpertRebalancer::lastSkew() const
{
    return m_lastSkew;
}

void ExpertRebalancer::membershipChanged(const GroupName &name)
{
    auto &group = stateOf(name);
    group.homeZone = m_rankMonitor.homeZoneOf(m_rankMonitor.group(name));
    group.layout.reset();
    dropActions(name, group);
}

void ExpertRebalancer::dropActions(const GroupName &name, GroupState &group)
{
    if (group.mapSwitch && group.mapSwitch->plan().epoch == m_rankMonitor.group(name).epoch) {
        m_rankMonitor.recordHeldStep(name, group.mapSwitch->heldStep()); // its orders may still be executed
    }
    group.mapSwitch.reset();
    group.recovery.reset();
    group.pendingPlan.reset();
}

void ExpertRebalancer::statusReceived(const GroupName &name, const RankStatus &status)
{
    auto &group = stateOf(name);
    detectOtherRebalancer(group, status);
    const bool isLeadingRank = status.rank == 0 && status.epoch == m_rankMonitor.group(name).epoch;
    const bool hasOtherMap = status.map != group.layoutMap && status.step >= group.layoutSinceStep;
    if (isLeadingRank && hasOtherMap && group.layout && !group.mapSwitch) {
        group.layout.reset(); // another rebalancer has switched the map
    }
}

void ExpertRebalancer::detectOtherRebalancer(GroupState &group, const RankStatus &status) const
{
    const auto latestMap = std::max(status.map, status.prepared.value_or(MapNumber{}));
    if (!m_isConfirmed && latestMap > group.highestKnownMap && !m_ownMapNumbers.contains(latestMap)) {
        group.hasSeenOther = true;
    }
}

bool ExpertRebalancer::mustYield(const GroupState &group, SteadyTime now) const
{
    // Two rebalancers that switch one group make each other fail, and each failure holds the group for a second.
    return !m_isConfirmed && (group.hasSeenOther || now - m_unconfirmedSince < UnconfirmedYieldPeriod);
}

bool ExpertRebalancer::mustDelayUnconfirmedSwitch(const GroupState &group, SteadyTime now) const
{
    // The log may be unreachable for this process only, and may have given the share to another that has had nothing to
    // do yet. Without this delay both switched at the next shift in demand, and the group stood still for 1.3 s.
    return !m_isConfirmed && now - *group.imbalancedSince < UnconfirmedSwitchDelay;
}

void ExpertRebalancer::abandonForSuccessor(const GroupName &name, GroupState &group)
{
    const bool isSwitching = group.mapSwitch && !group.mapSwitch->isHolding();
    if (isRebalancing(group) || (!isSwitching && !group.pendingPlan)) {
        return;
    }
    group.pendingPlan.reset();
    if (isSwitching) {
        reportDecision("map-switch-abandoned", name,
                       "map " + std::to_string(toNumber(group.mapSwitch->plan().mapNumber)) + " duty has ended");
        group.mapSwitch.reset();
        group.switchStartedAt = {};
    }
}

void ExpertRebalancer::updateGroup(const GroupName &name, GroupState &group, SteadyTime now)
{
    const auto &monitored = m_rankMonitor.group(name);
    abandonForSuccessor(name, group);
    if (!m_rankMonitor.isOperational(monitored)) {
        dropActions(name, group);
        return;
    }
    if (group.recovery) {
        updateRecovery(name, group, now);
    } else if (group.mapSwitch) {
        updateSwitch(name, group, now);
    } else if (monitored.heldStep) {
        checkHold(name, group, now);
    } else if (group.pendingPlan
               && (m_rankMonitor.hasStatusesSince(monitored, group.statusesRequestedAt)
                   || now - group.statusesRequestedAt > StatusTimeout)) {
        startSwitch(name, group, now);
    } else if (isRebalancing(group) && !group.layout) {
        readExperts(name, group);
    }
}

void ExpertRebalancer::checkHold(const GroupName &name, GroupState &group, SteadyTime now)
{
    const auto &monitored = m_rankMonitor.group(name);
    group.pendingPlan.reset();
    const bool isAbandoned = isHoldAbandoned(group, monitored, now);
    const bool isOwnHold =
        group.switchStartedAt != SteadyTime{} && now - group.switchStartedAt < ForeignHoldTimeout * 3;
    if ((!isAbandoned && !isOwnHold) || now < group.recoveryNotBefore) {
        return;
    }
    reportDecision("hold-recovery", name, "step " + std::to_string(*monitored.heldStep));
    m_rankMonitor.recordHeldStep(name, *monitored.heldStep);
    group.recovery =
        std::make_unique<HoldRecovery>(m_control,
                                       RecoveryPlan{.ranks = m_rankMonitor.targetsOf(monitored),
                                                    .epoch = monitored.epoch,
                                                    .heldStep = *monitored.heldStep,
                                                    .experts = static_cast<std::size_t>(m_profile.experts),
                                                    .mayJoin = now - monitored.heldSince > JoinRecoveryAfter},
                                       [this, name, fences = FenceNumbers{}](const RankStatus &status) mutable {
                                           return allocateFenceNumber(name, status, fences);
                                       });
}

bool ExpertRebalancer::isHoldAbandoned(GroupState &group, const MonitoredGroup &monitored, SteadyTime now) const
{
    if (group.jitterDrawnForHoldSince != monitored.heldSince) {
        group.jitterDrawnForHoldSince = monitored.heldSince;
        group.holdTimeoutJitter = milliseconds(m_randomBits() % InactiveJitterWidth.count());
    }
    const auto extraDelay = isRebalancing(group) ? milliseconds(0) : InactiveExtraDelay + group.holdTimeoutJitter;
    const bool isStandingStill =
        monitored.standstillSince && now - *monitored.standstillSince > StandstillTimeout + extraDelay;
    return isStandingStill || now - monitored.heldSince > ForeignHoldTimeout + extraDelay;
}

void ExpertRebalancer::updateRecovery(const GroupName &name, GroupState &group, SteadyTime now)
{
    group.recovery->tick(now);
    const auto state = group.recovery->state();
    if (state == HoldRecovery::State::Running) {
        return;
    }
    reportDecision(state == HoldRecovery::State::Released ? "hold-released" : "hold-recovery-ended", name,
                   group.recovery->reason());
    // Random delays that grow, so that processes that recover the same group do not interfere with each other forever.
    group.recoveryBackoff = state == HoldRecovery::State::Failed
        ? std::clamp(group.recoveryBackoff * 2, MinRecoveryBackoff, MaxRecoveryBackoff)
        : milliseconds(0);
    const auto jitterWidth = static_cast<std::uint64_t>(group.recoveryBackoff.count()) + 1;
    group.recoveryNotBefore = now + SettleDelay + milliseconds(m_randomBits() % jitterWidth);
    group.switchStartedAt = {};
    // Ranks that could be fenced do answer, so a switch can be retried at once: the group has been unbalanced in the
    // meantime, and its passes take two to three times as long until it is switched.
    group.noSwitchBefore = now + (state == HoldRecovery::State::Failed ? FailureRetryDelay : SettleDelay);
    group.layout.reset();
    group.recovery.reset();
}

void ExpertRebalancer::updateSwitch(const GroupName &name, GroupState &group, SteadyTime now)
{
    group.mapSwitch->tick(now, !isAnotherGroupHeld(group));
    const auto state = group.mapSwitch->state();
    if (state == MapSwitch::State::Running) {
        return;
    }
    const auto &plan = group.mapSwitch->plan();
    const auto duration = std::chrono::duration_cast<milliseconds>(now - group.switchStartedAt);
    const auto outcome = state == MapSwitch::State::Switched ? "map-switched"
        : state == MapSwitch::State::Abandoned               ? "map-switch-abandoned"
                                                             : "map-switch-stuck";
    reportDecision(outcome, name,
                   "map " + std::to_string(toNumber(plan.mapNumber)) + " step "
                       + std::to_string(group.mapSwitch->heldStep()) + " ms " + std::to_string(duration.count())
                       + " skew " + formatTwoDecimals(group.skewBefore) + " to " + formatTwoDecimals(group.skewAfter)
                       + " " + group.mapSwitch->reason());
    m_rankMonitor.recordHeldStep(name, group.mapSwitch->heldStep());
    if (state == MapSwitch::State::Switched) {
        group.layout = plan.layout;
        group.layoutMap = plan.mapNumber;
        group.layoutSinceStep = group.mapSwitch->heldStep();
        // The next stage starts as soon as statuses show this one, without another reading of counts.
        group.noSwitchBefore = now + m_rankMonitor.group(name).passTime;
        group.needsEvaluation = true;
        group.switchStartedAt = {};
    } else {
        group.noSwitchBefore = now + FailureRetryDelay;
        if (state == MapSwitch::State::Abandoned) {
            group.switchStartedAt = {};
        }
    }
    if (group.mapSwitch->maxSends() >= SendsIndicatingLoss) {
        group.lossyUntil = now + LossyPeriod;
    }
    group.mapSwitch.reset();
}

bool ExpertRebalancer::isAnotherGroupHeld(const GroupState &group) const
{
    // One at a time: if this process dies or is paused during its switches, at most one group waits for another process
    // to release it. With two switched at once all engines stood still for 2 s and more.
    return std::any_of(m_groups.begin(), m_groups.end(), [&group](const auto &entry) {
        return &entry.second != &group && entry.second.mapSwitch && entry.second.mapSwitch->isHolding();
    });
}

void ExpertRebalancer::readExperts(const GroupName &name, GroupState &group)
{
    if (group.isReadingExperts) {
        return;
    }
    group.isReadingExperts = true;
    const auto &monitored = m_rankMonitor.group(name);
    const auto targets = m_rankMonitor.targetsOf(monitored);
    const auto reading = std::make_shared<ExpertReading>();
    reading->ranks = monitored.ranks;
    reading->experts.resize(targets.size());
    reading->pendingAnswers = targets.size();
    for (std::size_t rank = 0; rank < targets.size(); ++rank) {
        m_control.fetchExperts(
            targets[rank], [this, rank, name, reading, alive = std::weak_ptr(m_alive)](Result<RankExperts> experts) {
                if (alive.expired()) {
                    return;
                }
                if (auto *known = std::get_if<RankExperts>(&experts)) {
                    reading->experts[rank] = std::move(*known);
                }
                if (--reading->pendingAnswers == 0) {
                    stateOf(name).isReadingExperts = false;
                    assembleLayout(name, *reading);
                }
            });
    }
}

void ExpertRebalancer::assembleLayout(const GroupName &name, const ExpertReading &reading)
{
    const auto &monitored = m_rankMonitor.group(name);
    if (!m_rankMonitor.isOperational(monitored) || monitored.ranks != reading.ranks) {
        return;
    }
    ExpertLayout layout(static_cast<std::size_t>(m_profile.layerSets), SetLayout(reading.ranks.size()));
    std::optional<MapNumber> map;
    for (std::size_t rank = 0; rank < reading.ranks.size(); ++rank) {
        const auto &experts = reading.experts[rank];
        if (!experts || experts->bySet.size() != layout.size() || (map && *map != experts->map)) {
            return; // a switch is in progress; the experts are read again at the next tick
        }
        map = experts->map;
        for (std::size_t set = 0; set < layout.size(); ++set) {
            layout[set][rank] = experts->bySet[set];
        }
    }
    const bool isLayoutComplete = std::all_of(layout.begin(), layout.end(), [this](const auto &set) {
        return isValidLayout(set, static_cast<std::size_t>(m_profile.experts),
                             static_cast<std::size_t>(m_profile.expertSlots));
    });
    if (isLayoutComplete) {
        auto &group = stateOf(name);
        group.layout = std::move(layout);
        group.layoutMap = *map;
        group.layoutSinceStep = 0;
    }
}

std::vector<TargetEntry> ExpertRebalancer::ranksToSample() const
{
    std::vector<TargetEntry> ranks;
    for (const auto &[name, group] : m_groups) {
        const auto &monitored = m_rankMonitor.group(name);
        if (isRebalancing(group) && m_rankMonitor.isOperational(monitored)) {
            const auto targets = m_rankMonitor.targetsOf(monitored);
            ranks.insert(ranks.end(), targets.begin(), targets.end());
        }
    }
    const auto counts = static_cast<std::size_t>(m_profile.layerSets) * static_cast<std::size_t>(m_profile.experts);
    auto asked = m_options.budget.ranksToPoll(std::move(ranks), counts, m_options.countPeriod);
    addLeadingRanks(asked); // their statuses tell the other rebalancers that one is active
    return asked;
}

void ExpertRebalancer::addLeadingRanks(std::vector<TargetEntry> &asked) const
{
    for (const auto &[name, group] : m_groups) {
        const auto &monitored = m_rankMonitor.group(name);
        if (!isRebalancing(group) || !m_rankMonitor.isOperational(monitored)) {
            continue;
        }
        const auto leader = m_rankMonitor.targetsOf(monitored).front();
        const bool isAsked =
            std::any_of(asked.begin(), asked.end(), [&leader](const auto &rank) { return rank.id == leader.id; });
        if (!isAsked) {
            asked.push_back(leader);
        }
    }
}

void ExpertRebalancer::handleNewDemand()
{
    m_lastSkew = 0;
    for (auto &[name, group] : m_groups) {
        const auto &monitored = m_rankMonitor.group(name);
        group.needsEvaluation = true;
        if (isRebalancing(group) && m_rankMonitor.isOperational(monitored) && group.layout) {
            m_lastSkew =
                std::max(m_lastSkew, layoutSkew(*group.layout, m_demandSampler.demandBySet(), slownessOf(monitored)));
        }
    }
}

void ExpertRebalancer::evaluateSwitch(const GroupName &name, GroupState &group, SteadyTime now)
{
    const auto &monitored = m_rankMonitor.group(name);
    const bool isFree = !group.mapSwitch && !group.recovery && !group.pendingPlan && !monitored.heldStep;
    if (!isFree || now < group.noSwitchBefore || mustYield(group, now)) {
        return;
    }
    group.needsEvaluation = false;
    const auto copies =
        std::min(m_options.maxCopiesPerRank, static_cast<std::size_t>(std::max(m_profile.spareExpertSlots, 0)));
    const auto slowness = slownessOf(monitored);
    const bool isShort = monitored.passTime <= m_longestPause * m_options.shortPassFraction;
    const auto evenness = isShort ? LooseBalance : TightBalance;
    auto stages = improveLayoutInStages(*group.layout, m_demandSampler.demandBySet(),
                                        {.slotsPerRank = static_cast<std::size_t>(m_profile.expertSlots),
                                         .maxCopiesPerRank = copies,
                                         .skewThreshold = evenness.skewThreshold,
                                         .minGain = evenness.minGain,
                                         .slowness = slowness},
                                        MaxStages);
    group.skewBefore = layoutSkew(*group.layout, m_demandSampler.demandBySet(), slowness);
    auto &stage = stages[fastestGainStage(stages, group.skewBefore, m_profile.expertCopyTime, SwitchOverhead)];
    group.skewAfter = stage.skew;
    const auto maxCopies = stage.copies;
    // While orders get lost a switch holds its group for many passes, and may have to be reverted.
    const bool isCalm = isShort || now < group.lossyUntil;
    const auto copyTime = m_profile.expertCopyTime * static_cast<double>(maxCopies);
    const double gain = group.skewBefore - (isCalm ? stages.back().skew : stage.skew);
    const double copyCost = CopySlowdown * group.skewBefore * (copyTime / m_options.demandStablePeriod);
    const bool isWorthwhile = gain >= std::max(isCalm ? m_options.minGainWhenCalm : m_options.minGain, copyCost * 2);
    reportDecision(isWorthwhile ? "map-wanted" : "map-kept", name,
                   "skew " + formatTwoDecimals(group.skewBefore) + " to " + formatTwoDecimals(group.skewAfter)
                       + " then " + formatTwoDecimals(stages.back().skew) + " copies " + std::to_string(maxCopies)
                       + " of " + std::to_string(stages.back().copies) + " distance "
                       + formatTwoDecimals(m_demandSampler.lastDistance()) + " pass-ms "
                       + std::to_string(monitored.passTime.count()));
    if (!isWorthwhile) {
        group.imbalancedSince.reset();
        return;
    }
    if (!group.imbalancedSince) {
        group.imbalancedSince = now;
    }
    if (mustDelayUnconfirmedSwitch(group, now)) {
        return;
    }
    group.imbalancedSince.reset();
    group.pendingPlan = MapSwitchPlan{.layout = std::move(stage.layout),
                                      .copyTime = std::chrono::duration_cast<milliseconds>(copyTime),
                                      .passTime = monitored.passTime};
    group.statusesRequestedAt = now;
    m_rankMonitor.requestStatuses(monitored, now);
}

RankSlowness ExpertRebalancer::slownessOf(const MonitoredGroup &monitored) const
{
    RankSlowness slowness;
    for (const auto &id : monitored.ranks) {
        const auto *status = m_rankMonitor.statusOf(id);
        slowness.push_back(status != nullptr ? std::max(1.0, status->slowdown) : 1.0);
    }
    return slowness;
}

void ExpertRebalancer::startSwitch(const GroupName &name, GroupState &group, SteadyTime now)
{
    auto plan = *std::exchange(group.pendingPlan, {});
    const auto &monitored = m_rankMonitor.group(name);
    if (!m_rankMonitor.hasStatusesSince(monitored, group.statusesRequestedAt)) {
        reportDecision("map-switch-put-off", name, "a rank does not answer");
        group.noSwitchBefore = now + SettleDelay;
        return;
    }
    if (isSwitchPassPending(group, monitored)) {
        group.noSwitchBefore = now + monitored.passTime / 2;
        group.needsEvaluation = true;
        return;
    }
    for (const auto &id : monitored.ranks) {
        const auto &status = *m_rankMonitor.statusOf(id);
        const bool hasExpectedMap = status.map == group.layoutMap || status.step < group.layoutSinceStep;
        if (status.armed || status.heldStep || status.epoch != monitored.epoch || !hasExpectedMap) {
            reportDecision("map-switch-put-off", name, "a rank is not in the expected state: " + id.text());
            group.noSwitchBefore = now + SettleDelay;
            group.layout.reset();
            return;
        }
    }
    plan.ranks = m_rankMonitor.targetsOf(monitored);
    plan.epoch = monitored.epoch;
    const auto fields = nextSwitchFields(monitored, plan);
    if (fields.usedSteps > monitored.lastStep + MaxPassesAhead) {
        reportDecision("map-switch-put-off", name, "an idle group that too many passes were chosen for");
        group.noSwitchBefore = now + FailureRetryDelay;
        return;
    }
    plan.mapNumber = recordOwnNumber(name, makeMapNumber(fields, m_randomBits()));
    plan.afterStep = fields.usedSteps;
    plan.untilStep = lastStepToHold(fields);
    group.switchStartedAt = now;
    group.mapSwitch = std::make_unique<MapSwitch>(m_control, std::move(plan));
    group.mapSwitch->tick(now);
}

bool ExpertRebalancer::isSwitchPassPending(const GroupState &group, const MonitoredGroup &monitored) const
{
    // A switch ends when its pass is released, and that pass may still be several passes ahead. Ranks that wait for it
    // are in the expected state.
    return std::any_of(monitored.ranks.begin(), monitored.ranks.end(), [&](const auto &id) {
        const auto &status = *m_rankMonitor.statusOf(id);
        return status.armed == group.layoutMap && status.epoch == monitored.epoch
            && status.step < group.layoutSinceStep;
    });
}

MapNumberFields ExpertRebalancer::nextSwitchFields(const MonitoredGroup &monitored, const MapSwitchPlan &plan) const
{
    bool isAnyMapSeen = false;
    std::uint64_t step = 0;
    std::uint64_t lastHeldStep = monitored.lastHeldStep;
    for (const auto &id : monitored.ranks) {
        const auto &status = *m_rankMonitor.statusOf(id);
        isAnyMapSeen = isAnyMapSeen || status.map != MapNumber{} || status.prepared;
        step = std::max(step, status.step);
        // Which pass it was that an own number allowed to hold is known.
        const bool isOwn = status.prepared && m_ownMapNumbers.contains(*status.prepared);
        const auto bounds = RankMonitor::heldStepBoundsOf(status);
        lastHeldStep = std::max(lastHeldStep, isOwn ? bounds.used : bounds.last);
    }
    // The direct successor of what the ranks show: if this process has been paused since, they refuse it for the map
    // that was prepared meanwhile. What ranks had in an earlier epoch does not show.
    const auto successor = generationOf(monitored.highestMap) + 1;
    const auto timeToHold = plan.copyTime + MapSwitch::MaxHoldDelay + MaxHoldMargin;
    return {.generation = isAnyMapSeen ? successor : std::max(successor, generationByClock()),
            .usedSteps = std::max(step, lastHeldStep),
            .spanSteps = static_cast<std::uint64_t>(timeToHold / std::max(plan.passTime, milliseconds(1)))};
}

MapNumber ExpertRebalancer::allocateFenceNumber(const GroupName &name, const RankStatus &status, FenceNumbers &fences)
{
    const auto highestSeen = std::max(status.map, status.prepared.value_or(MapNumber{}));
    m_rankMonitor.recordMapNumber(name, highestSeen);
    // Also what the switch that is recovered may hold: an order of it may be late.
    m_rankMonitor.recordHeldStep(name, RankMonitor::heldStepBoundsOf(status).last);
    const auto &monitored = m_rankMonitor.group(name);
    const bool isFirstOfRank = fences.ranks.insert(status.rank).second;
    if (!isFirstOfRank || fences.generation <= generationOf(highestSeen)) {
        // One generation is left out: the successor of what the ranks show may be a switch whose orders are late.
        fences.generation = std::max(generationOf(monitored.highestMap) + 2, generationByClock());
    }
    return recordOwnNumber(
        name,
        makeMapNumber(
            {.generation = fences.generation, .purpose = MapPurpose::Fence, .usedSteps = monitored.lastHeldStep},
            m_randomBits()));
}

std::uint64_t ExpertRebalancer::generationByClock() const
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::seconds>(m_clock.wallNow() - MapNumberEpoch);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(sinceEpoch.count(), 0));
}

MapNumber ExpertRebalancer::recordOwnNumber(const GroupName &name, MapNumber number)
{
    m_rankMonitor.recordMapNumber(name, number);
    m_ownMapNumbers.insert(number);
    if (m_ownMapNumbers.size() > MaxOwnMapNumbers) {
        m_ownMapNumbers.erase(m_ownMapNumbers.begin());
    }
    return number;
}

void ExpertRebalancer::reportDecision(std::string_view event, const GroupName &group, const std::string &details) const
{
    if (m_events.decisionMade) {
        m_events.decisionMade(event, group, details);
    }
}

} // namespace Heatherridge
