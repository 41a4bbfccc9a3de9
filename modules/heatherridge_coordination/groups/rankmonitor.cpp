#include "heatherridge_coordination/groups/rankmonitor.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/** Statuses in a row that don't come before an engine counts as gone: two seconds' worth. Forgetting it drops a switch
 * that is under way, and what that holds stays held until it is recovered. */
constexpr int MissesToForget = 5;
/** The same where questions are further apart. */
constexpr int LeastMissesToForget = 2;
/** Switches hold passes at rank 0, recoveries mostly at rank 1: what they say of holds is news for every keeper. */
constexpr int LastHoldingRank = 1;
/** Bounds of what is believed of a pass, from an idle group to one with a stalled rank. */
constexpr milliseconds ShortestPass{10};
constexpr milliseconds LongestPass{1'000};

} // namespace

RankMonitor::RankMonitor(RankControl &control, Options options, Events events)
    : m_control(control)
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_farPeriod(m_options.period)
    , m_alive(std::make_shared<int>(0))
{
}

void RankMonitor::setTargets(const std::vector<TargetEntry> &targets)
{
    for (const auto &target : targets) {
        m_members[target.id].target = target;
    }
    const auto erased = std::erase_if(m_members, [&targets](const auto &entry) {
        return std::none_of(targets.begin(), targets.end(),
                            [&entry](const auto &target) { return target.id == entry.first; });
    });
    if (erased > 0) {
        for (const auto &[name, group] : m_groups) {
            compose(name);
        }
    }
    const auto far = std::count_if(targets.begin(), targets.end(),
                                   [this](const auto &target) { return !m_options.budget.isNear(target); });
    m_farPeriod = m_options.budget.farPeriod(static_cast<std::size_t>(far), m_options.period);
}

void RankMonitor::setThorough(bool isThorough)
{
    m_isThorough = isThorough;
}

void RankMonitor::tick(SteadyTime now)
{
    // A group that forms or is held takes no streams, and each moment in which nobody knows that it goes on is lost.
    const int hurry = isSettled() ? 1 : 2;
    for (auto &[id, member] : m_members) {
        if (now - member.askedAt >= periodOf(member) / hurry) {
            askOne(member, now);
        }
    }
}

bool RankMonitor::isWatchedClosely(const Member &member) const
{
    const bool mayHold = member.status && member.status->rank <= LastHoldingRank;
    return m_isThorough || mayHold || m_options.budget.isNear(member.target);
}

milliseconds RankMonitor::periodOf(const Member &member) const
{
    return isWatchedClosely(member) ? m_options.period : m_farPeriod;
}

int RankMonitor::missesToForget(const Member &member) const
{
    return std::max(LeastMissesToForget, static_cast<int>(MissesToForget * m_options.period / periodOf(member)));
}

bool RankMonitor::isSettled() const
{
    return !m_groups.empty() && std::all_of(m_groups.begin(), m_groups.end(), [this](const auto &entry) {
        return isWhole(entry.second) && !entry.second.heldStep;
    });
}

void RankMonitor::ask(const MonitoredGroup &group, SteadyTime now)
{
    for (const auto &id : group.ranks) {
        if (const auto found = m_members.find(id); found != m_members.end()) {
            askOne(found->second, now);
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
    const auto found = m_members.find(target);
    return found != m_members.end() && found->second.status ? &*found->second.status : nullptr;
}

bool RankMonitor::isWhole(const MonitoredGroup &group) const
{
    return group.isOpen && !group.ranks.empty()
        && std::all_of(group.ranks.begin(), group.ranks.end(),
                       [this](const auto &id) { return !id.isEmpty() && m_members.contains(id); });
}

bool RankMonitor::isFresh(const MonitoredGroup &group, SteadyTime time) const
{
    return std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto &id) {
        const auto found = m_members.find(id);
        return found != m_members.end() && found->second.answeredAt >= time;
    });
}

std::vector<TargetEntry> RankMonitor::targetsOf(const MonitoredGroup &group) const
{
    std::vector<TargetEntry> targets;
    for (const auto &id : group.ranks) {
        targets.push_back(m_members.at(id).target);
    }
    return targets;
}

void RankMonitor::noteNumber(const GroupName &name, MapNumber number)
{
    auto &group = m_groups[name];
    group.highest = std::max(group.highest, number);
}

void RankMonitor::noteHeld(const GroupName &name, std::uint64_t step)
{
    auto &group = m_groups[name];
    group.lastHeld = std::max(group.lastHeld, step);
}

std::optional<std::vector<EngineView>> RankMonitor::news()
{
    if (!std::exchange(m_hasNews, false)) {
        return std::nullopt;
    }
    std::vector<EngineView> engines;
    for (const auto &[id, member] : m_members) {
        if (member.lastGroup.isEmpty()) {
            continue;
        }
        if (!member.status) {
            // Told of as closed, or its last word would stand: dead engines drew 1,066 attempts in a day.
            engines.push_back({.target = id, .group = member.lastGroup, .at = member.askedAt});
            continue;
        }
        const auto &status = *member.status;
        const auto &seen = group(status.group);
        engines.push_back({.target = id,
                           .group = status.group,
                           .isOpen = status.epoch == seen.epoch && takesStreams(seen),
                           .running = status.running,
                           .waiting = status.waiting,
                           .pace = status.pace,
                           .passTime = seen.passTime,
                           .at = member.askedAt});
    }
    return engines;
}

void RankMonitor::askOne(Member &member, SteadyTime now)
{
    if (member.isAsking) {
        return;
    }
    member.isAsking = true;
    member.askedAt = now;
    m_control.status(member.target,
                     [this, id = member.target.id, now, alive = std::weak_ptr(m_alive)](Result<RankStatus> status) {
                         const auto found = alive.expired() ? m_members.end() : m_members.find(id);
                         if (alive.expired() || found == m_members.end()) {
                             return;
                         }
                         found->second.isAsking = false;
                         if (const auto *known = std::get_if<RankStatus>(&status)) {
                             take(found->second, *known, now);
                         } else {
                             miss(found->second, *errorIn(status));
                         }
                     });
}

void RankMonitor::miss(Member &member, const Error &error)
{
    const bool isOther = error.kind == ErrorKind::NotFound;
    if (!member.status || (++member.misses < missesToForget(member) && !isOther)) {
        return;
    }
    // Gone, or another run of the engine answers in its place: its group is not whole until somebody has its rank.
    const auto group = member.status->group;
    member.status.reset();
    m_hasNews = true;
    compose(group);
}

void RankMonitor::take(Member &member, const RankStatus &status, SteadyTime now)
{
    const bool isNew = !member.status || member.status->group != status.group || member.status->rank != status.rank
        || member.status->epoch != status.epoch || member.status->isOpen != status.isOpen;
    member.status = status;
    member.lastGroup = status.group;
    member.answeredAt = now;
    member.misses = 0;
    m_hasNews = true;
    if (status.group.isEmpty()) {
        return;
    }
    noteNumber(status.group,
               std::max({status.map, status.prepared.value_or(MapNumber{}), status.armed.value_or(MapNumber{})}));
    if (isNew) {
        compose(status.group);
    }
    noteHeld(status.group, status.heldStep.value_or(0));
    auto &group = m_groups[status.group];
    followHold(group, now);
    if (status.rank == 0 && status.epoch == group.epoch) {
        followPasses(group, status, now);
        followSurvey(group, status, now);
    }
    m_events.spoke(status.group, status);
}

void RankMonitor::followHold(MonitoredGroup &group, SteadyTime now) const
{
    // Switches hold at rank 0 and recoveries at another, and either may have come late: any rank may hold.
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

void RankMonitor::followPasses(MonitoredGroup &group, const RankStatus &status, SteadyTime now)
{
    if (status.step > group.lastStep && group.lastStep > 0 && group.lastStepAt != SteadyTime{}) {
        const auto passes = static_cast<std::int64_t>(status.step - group.lastStep);
        const auto span = std::chrono::duration_cast<milliseconds>(now - group.lastStepAt);
        group.passTime = std::clamp(span / passes, ShortestPass, LongestPass);
    }
    // A status that shows the same pass again is no beginning of one, or passes that are longer than the time between
    // two statuses would seem as short as that time. An idle group makes no passes.
    const bool isIdle = status.running + status.waiting == 0;
    if (status.step != group.lastStep || isIdle) {
        group.lastStep = status.step;
        group.lastStepAt = now;
    }
    const bool standsStill = group.heldStep && status.step + 1 >= *group.heldStep;
    if (standsStill != group.standsSince.has_value()) {
        group.standsSince = standsStill ? std::optional(now) : std::nullopt;
    }
}

void RankMonitor::followSurvey(MonitoredGroup &group, const RankStatus &status, SteadyTime now)
{
    if (status.countsAskedAgo) {
        group.surveyedAgo = *status.countsAskedAgo;
        group.surveyToldAt = now;
    }
}

void RankMonitor::compose(const GroupName &name)
{
    auto &group = m_groups[name];
    std::uint64_t epoch = 0;
    for (const auto &[id, member] : m_members) {
        if (member.status && member.status->group == name) {
            epoch = std::max(epoch, member.status->epoch);
        }
    }
    auto ranks = ranksOf(name, epoch);
    group.isOpen = std::all_of(ranks.begin(), ranks.end(), [this](const auto &id) {
        const auto *status = statusOf(id);
        return status != nullptr && status->isOpen;
    });
    if (epoch != group.epoch) {
        group.lastStep = 0;
        group.lastHeld = 0;
        group.heldStep.reset();
        group.standsSince.reset();
    }
    const bool isOther = ranks != group.ranks || epoch != group.epoch;
    group.ranks = std::move(ranks);
    group.epoch = epoch;
    if (isOther) {
        m_events.composed(name);
    }
}

std::vector<TargetName> RankMonitor::ranksOf(const GroupName &name, std::uint64_t epoch) const
{
    std::vector<TargetName> ranks;
    for (const auto &[id, member] : m_members) {
        if (!member.status || member.status->group != name || member.status->epoch != epoch) {
            continue;
        }
        const auto rank = static_cast<std::size_t>(std::max(member.status->rank, 0));
        ranks.resize(std::max({ranks.size(), rank + 1, static_cast<std::size_t>(member.status->size)}));
        // An engine that has started anew stands in the register beside its last run for a while.
        if (ranks[rank].isEmpty() || m_members.at(ranks[rank]).answeredAt < member.answeredAt) {
            ranks[rank] = id;
        }
    }
    return ranks;
}

bool RankMonitor::takesStreams(const MonitoredGroup &group) const
{
    // One rank that says that its group does not work speaks for all: the one that died said last that it works, and
    // looks idle. It drew 577 attempts in a day that never reached it.
    const bool isBroken = std::any_of(group.ranks.begin(), group.ranks.end(), [this](const auto &id) {
        const auto *status = statusOf(id);
        return status != nullptr && !status->isOpen;
    });
    // After a start the first few engines whose statuses have come would get all that waits: 36 streams went to four
    // engines of sixteen, and their callers left. Ranks that stay out of reach must not close a group, though.
    const auto known =
        std::count_if(group.ranks.begin(), group.ranks.end(), [](const auto &id) { return !id.isEmpty(); });
    return !isBroken && static_cast<std::size_t>(known) * 2 >= group.ranks.size();
}

} // namespace Heatherridge
