#include "heatherridge_coordination/groups/rankmonitor.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/**
 * Consecutive missed statuses after which an engine counts as lost: two seconds' worth. Dropping it drops a switch in
 * progress, and the pass that the switch holds stays held until it is recovered.
 */
constexpr int MissesUntilLost = 5;
/** Lower bound of the same where requests are further apart. */
constexpr int MinMissesUntilLost = 2;
/**
 * Switches hold passes at rank 0, recoveries mostly at rank 1: every rebalancer has to know of the holds at these
 * ranks.
 */
constexpr int LastHoldingRank = 1;
/** Bounds of the measured pass time, from an idle group to one with a stalled rank. */
constexpr milliseconds MinPassTime{10};
constexpr milliseconds MaxPassTime{1'000};

} // namespace

RankMonitor::RankMonitor(RankControl &control, Options options, Events events)
    : m_control(control)
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_nearPeriod(m_options.period)
    , m_farPeriod(m_options.period)
    , m_farHolderPeriod(m_options.period)
    , m_alive(std::make_shared<int>(0))
{
}

void RankMonitor::setTargets(const std::vector<TargetEntry> &targets)
{
    for (const auto &target : targets) {
        m_engines[target.id].target = target;
    }
    std::set<TargetName> registered;
    for (const auto &target : targets) {
        registered.insert(target.id);
    }
    const auto erased =
        std::erase_if(m_engines, [&registered](const auto &entry) { return !registered.contains(entry.first); });
    if (erased > 0) {
        m_hasUpdates = true;
        for (const auto &[name, group] : m_groups) {
            rebuildGroup(name);
        }
    }
    m_farCount = static_cast<std::size_t>(std::count_if(
        targets.begin(), targets.end(), [this](const auto &target) { return !m_options.budget.isInOwnZone(target); }));
    updatePeriods();
}

void RankMonitor::setPollers(const PollerCounts &pollers)
{
    m_pollers = pollers;
    updatePeriods();
}

void RankMonitor::updatePeriods()
{
    m_nearPeriod = std::max(m_options.period, ControlBudget::sharedStatusPeriod(m_pollers.inZone));
    const auto shared = ControlBudget::sharedStatusPeriod(m_pollers.all);
    m_farPeriod = std::max(m_options.budget.remoteStatusPeriod(m_farCount, m_options.period), shared);
    m_farHolderPeriod = std::max(m_options.period, shared);
}

void RankMonitor::setFullRateGroups(std::set<GroupName> groups)
{
    m_fullRateGroups = std::move(groups);
}

void RankMonitor::tick(SteadyTime now)
{
    // A group that is forming or held accepts no streams, and the time until a status shows that it has resumed is
    // lost: it is polled at twice the rate.
    std::set<GroupName> settledGroups;
    for (const auto &[name, group] : m_groups) {
        if (isSettled(name)) {
            settledGroups.insert(name);
        }
    }
    for (auto &[id, engine] : m_engines) {
        const int rateFactor = settledGroups.contains(engine.lastGroup) ? 1 : 2;
        if (now - engine.requestedAt >= pollPeriodOf(engine) / rateFactor) {
            requestStatus(engine, now);
        }
    }
}

milliseconds RankMonitor::pollPeriodOf(const MonitoredEngine &engine) const
{
    if (m_fullRateGroups.contains(engine.lastGroup)) {
        return m_options.period;
    }
    const bool mayHold = engine.status && engine.status->rank <= LastHoldingRank;
    if (m_options.budget.isInOwnZone(engine.target)) {
        return mayHold || isOutdated(engine) ? m_options.period : m_nearPeriod;
    }
    return mayHold ? m_farHolderPeriod : m_farPeriod;
}

bool RankMonitor::isOutdated(const MonitoredEngine &engine) const
{
    return !engine.status || engine.status->epoch != group(engine.lastGroup).epoch;
}

int RankMonitor::missesUntilLost(const MonitoredEngine &engine) const
{
    return std::max(MinMissesUntilLost, static_cast<int>(MissesUntilLost * m_options.period / pollPeriodOf(engine)));
}

bool RankMonitor::isSettled(const GroupName &name) const
{
    const auto &monitored = group(name);
    return isOperational(monitored) && !monitored.heldStep;
}

ZoneName RankMonitor::homeZoneOf(const MonitoredGroup &group) const
{
    std::map<ZoneName, int> ranks;
    for (const auto &id : group.ranks) {
        if (const auto found = m_engines.find(id); found != m_engines.end()) {
            ++ranks[found->second.target.zone];
        }
    }
    const auto most =
        std::max_element(ranks.begin(), ranks.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return most == ranks.end() ? ZoneName() : most->first;
}

void RankMonitor::requestStatuses(const MonitoredGroup &group, SteadyTime now)
{
    for (const auto &id : group.ranks) {
        if (const auto found = m_engines.find(id); found != m_engines.end()) {
            requestStatus(found->second, now);
        }
    }
}

const std::map<GroupName, MonitoredGroup> &RankMonitor::groups() const
{
    return m_groups;
}

const MonitoredGroup &RankMonitor::group(const GroupName &name) const
{
    static const MonitoredGroup NeverSeen;
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? NeverSeen : found->second;
}

const RankStatus *RankMonitor::statusOf(const TargetName &target) const
{
    const auto found = m_engines.find(target);
    return found != m_engines.end() && found->second.status ? &*found->second.status : nullptr;
}

bool RankMonitor::isOperational(const MonitoredGroup &group) const
{
    return group.isOpen && !group.ranks.empty()
        && std::all_of(group.ranks.begin(), group.ranks.end(),
                       [this](const auto &id) { return !id.isEmpty() && m_engines.contains(id); });
}

bool RankMonitor::hasStatusesSince(const MonitoredGroup &group, SteadyTime time) const
{
    return std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto &id) {
        const auto found = m_engines.find(id);
        return found != m_engines.end() && found->second.statusRequestedAt >= time;
    });
}

std::vector<TargetEntry> RankMonitor::targetsOf(const MonitoredGroup &group) const
{
    std::vector<TargetEntry> targets;
    for (const auto &id : group.ranks) {
        targets.push_back(m_engines.at(id).target);
    }
    return targets;
}

void RankMonitor::recordMapNumber(const GroupName &name, MapNumber number)
{
    auto &group = m_groups[name];
    group.highestMap = std::max(group.highestMap, number);
}

HeldStepBounds RankMonitor::heldStepBoundsOf(const RankStatus &status)
{
    // A map in use was armed for a pass after all that its number tells of.
    const bool isPending = status.prepared && *status.prepared > status.map;
    return isPending ? heldStepBounds(*status.prepared, status.step) : HeldStepBounds{};
}

void RankMonitor::recordHeldStep(const GroupName &name, std::uint64_t step)
{
    auto &group = m_groups[name];
    group.lastHeldStep = std::max(group.lastHeldStep, step);
}

std::vector<EngineView> RankMonitor::takeUpdates()
{
    if (!std::exchange(m_hasUpdates, false)) {
        return {};
    }
    std::set<GroupName> acceptingGroups;
    for (const auto &[name, monitored] : m_groups) {
        if (acceptsStreams(monitored)) {
            acceptingGroups.insert(name);
        }
    }
    std::vector<EngineView> views;
    for (auto &[id, engine] : m_engines) {
        if (engine.lastGroup.isEmpty()) {
            continue;
        }
        const bool isOpen = engine.status && !isOutdated(engine) && acceptingGroups.contains(engine.lastGroup);
        if (std::exchange(engine.hasUpdate, false) || isOpen != engine.wasOpen) {
            engine.wasOpen = isOpen;
            views.push_back(viewOf(engine, acceptingGroups.contains(engine.lastGroup)));
        }
    }
    return views;
}

EngineView RankMonitor::viewOf(const MonitoredEngine &engine, bool isGroupOpen) const
{
    if (!engine.status) {
        // Reported as not open, as otherwise its last status would stand: dead engines received 1,066 attempts in a
        // day.
        return {.target = engine.target.id,
                .group = engine.lastGroup,
                .isGroupOpen = isGroupOpen,
                .requestedAt = engine.requestedAt};
    }
    const auto &status = *engine.status;
    return {.target = engine.target.id,
            .group = status.group,
            .isGroupOpen = isGroupOpen,
            .isOpen = engine.wasOpen,
            .running = status.running,
            .waiting = status.waiting,
            .pace = status.slowdown,
            .passTime = group(status.group).passTime,
            .requestedAt = engine.requestedAt};
}

void RankMonitor::requestStatus(MonitoredEngine &engine, SteadyTime now)
{
    if (engine.isRequestPending) {
        return;
    }
    engine.isRequestPending = true;
    engine.requestedAt = now;
    m_control.fetchStatus(
        engine.target, [this, id = engine.target.id, now, alive = std::weak_ptr(m_alive)](Result<RankStatus> status) {
            const auto found = alive.expired() ? m_engines.end() : m_engines.find(id);
            if (alive.expired() || found == m_engines.end()) {
                return;
            }
            found->second.isRequestPending = false;
            if (const auto *known = std::get_if<RankStatus>(&status)) {
                applyStatus(found->second, *known, now);
            } else {
                handleMissedStatus(found->second, *errorIn(status));
            }
        });
}

void RankMonitor::handleMissedStatus(MonitoredEngine &engine, const Error &error)
{
    const bool isOtherRun = error.kind == ErrorKind::NotFound;
    if (!engine.status || (++engine.missedStatuses < missesUntilLost(engine) && !isOtherRun)) {
        return;
    }
    // The engine is gone, or another run of it answers in its place: its group is not operational until an engine
    // reports the rank again.
    const auto group = engine.status->group;
    engine.status.reset();
    engine.hasUpdate = true;
    m_hasUpdates = true;
    rebuildGroup(group);
}

void RankMonitor::applyStatus(MonitoredEngine &engine, const RankStatus &status, SteadyTime now)
{
    const bool hasChanged = !engine.status || engine.status->group != status.group || engine.status->rank != status.rank
        || engine.status->epoch != status.epoch || engine.status->isOpen != status.isOpen;
    engine.status = status;
    engine.lastGroup = status.group;
    engine.statusRequestedAt = now;
    engine.missedStatuses = 0;
    engine.hasUpdate = true;
    m_hasUpdates = true;
    if (status.group.isEmpty()) {
        return;
    }
    recordMapNumber(status.group,
                    std::max({status.map, status.prepared.value_or(MapNumber{}), status.armed.value_or(MapNumber{})}));
    if (hasChanged) {
        rebuildGroup(status.group);
    }
    auto &group = m_groups[status.group];
    if (status.epoch == group.epoch) {
        recordHeldStep(status.group, status.heldStep.value_or(0));
    }
    updateHold(group, now);
    if (status.rank == 0 && status.epoch == group.epoch) {
        updatePassTime(group, status, now);
        updateCountsRequest(group, status, now);
    }
    m_events.statusReceived(status.group, status);
}

void RankMonitor::updateHold(MonitoredGroup &group, SteadyTime now) const
{
    // Switches hold at rank 0 and recoveries at another rank, and either order may have arrived late: any rank may
    // hold.
    std::optional<std::uint64_t> held;
    for (const auto &id : group.ranks) {
        const auto *status = statusOf(id);
        if (status != nullptr && status->heldStep) {
            held = held ? std::min(*held, *status->heldStep) : *status->heldStep;
        }
    }
    if (held != group.heldStep) {
        group.heldStep = held;
        group.heldSince = now;
    }
}

void RankMonitor::updatePassTime(MonitoredGroup &group, const RankStatus &status, SteadyTime now)
{
    if (status.step > group.lastStep && group.lastStep > 0 && group.lastStepAt != SteadyTime{}) {
        const auto passes = static_cast<std::int64_t>(status.step - group.lastStep);
        const auto span = std::chrono::duration_cast<milliseconds>(now - group.lastStepAt);
        group.passTime = std::clamp(span / passes, MinPassTime, MaxPassTime);
    }
    // A status that shows the same pass again does not mark the start of a pass; otherwise passes that are longer than
    // the interval between two statuses would seem as short as that interval. An idle group makes no passes.
    const bool isIdle = status.running + status.waiting == 0;
    if (status.step != group.lastStep || isIdle) {
        group.lastStep = status.step;
        group.lastStepAt = now;
    }
    const bool isStandingStill = group.heldStep && status.step + 1 >= *group.heldStep;
    if (isStandingStill != group.standstillSince.has_value()) {
        group.standstillSince = isStandingStill ? std::optional(now) : std::nullopt;
    }
}

void RankMonitor::updateCountsRequest(MonitoredGroup &group, const RankStatus &status, SteadyTime now)
{
    if (status.countsLastPolledAgo) {
        group.countsRequestedAgo = *status.countsLastPolledAgo;
        group.countsRequestReportedAt = now;
    }
}

void RankMonitor::rebuildGroup(const GroupName &name)
{
    auto &group = m_groups[name];
    std::uint64_t epoch = 0;
    for (const auto &[id, engine] : m_engines) {
        if (engine.status && engine.status->group == name) {
            epoch = std::max(epoch, engine.status->epoch);
        }
    }
    auto ranks = ranksOf(name, epoch);
    group.isOpen = std::all_of(ranks.begin(), ranks.end(), [this](const auto &id) {
        const auto *status = statusOf(id);
        return status != nullptr && status->isOpen;
    });
    if (epoch != group.epoch) {
        group.lastStep = 0;
        group.lastHeldStep = 0;
        group.heldStep.reset();
        group.standstillSince.reset();
    }
    const bool isRegrouped = ranks != group.ranks || epoch != group.epoch;
    group.ranks = std::move(ranks);
    group.epoch = epoch;
    if (isRegrouped) {
        m_events.membershipChanged(name);
    }
}

std::vector<TargetName> RankMonitor::ranksOf(const GroupName &name, std::uint64_t epoch) const
{
    std::vector<TargetName> ranks;
    for (const auto &[id, engine] : m_engines) {
        if (!engine.status || engine.status->group != name || engine.status->epoch != epoch) {
            continue;
        }
        const auto rank = static_cast<std::size_t>(std::max(engine.status->rank, 0));
        ranks.resize(std::max({ranks.size(), rank + 1, static_cast<std::size_t>(engine.status->size)}));
        // An engine that has restarted is registered alongside its previous run for a while.
        if (ranks[rank].isEmpty() || m_engines.at(ranks[rank]).statusRequestedAt < engine.statusRequestedAt) {
            ranks[rank] = id;
        }
    }
    return ranks;
}

bool RankMonitor::acceptsStreams(const MonitoredGroup &group) const
{
    // One rank that reports that its group does not operate is enough: the last status of a rank that died says that
    // the group operates, and the rank looks idle. Such ranks received 577 attempts in a day that never reached them.
    const bool isReportedClosed = std::any_of(group.ranks.begin(), group.ranks.end(), [this](const auto &id) {
        const auto *status = statusOf(id);
        return status != nullptr && !status->isOpen;
    });
    // After a start the first few engines to report would receive all waiting streams: 36 streams went to four engines
    // of sixteen, and their callers left. Ranks that stay unreachable must not close a group, though.
    const auto knownCount =
        std::count_if(group.ranks.begin(), group.ranks.end(), [](const auto &id) { return !id.isEmpty(); });
    return !isReportedClosed && static_cast<std::size_t>(knownCount) * 2 >= group.ranks.size();
}

} // namespace Heatherridge
