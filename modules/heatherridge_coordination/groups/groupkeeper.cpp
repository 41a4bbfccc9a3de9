#include "heatherridge_coordination/groups/groupkeeper.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/** Statuses in a row that don't come before an engine counts as gone: two seconds' worth. Forgetting it drops a switch
 * that is under way, and what that holds stays held until it is recovered. */
constexpr int MissesToForget = 5;
/** After a switch that failed, so that a fault that lasts does not cost orders all the while. */
constexpr milliseconds FailurePause{1'500};
/** Bounds of the pause before a recovery that failed is tried again; one takes half a second by itself. */
constexpr milliseconds FirstRecoveryPause{600};
constexpr milliseconds LongestRecoveryPause{4'000};
/** A hold that is as old is taken up even if another recovery seems to be under way: whoever began it may be gone. */
constexpr milliseconds JoinPatience{1'700};
/** A switch that needed so many copies of one order tells of orders that get lost. */
constexpr int SendsThatTellOfLoss = 3;
/** How long that is taken to last. */
constexpr milliseconds LossyTime{4'000};
/** Own numbers that are remembered: far more than are given out while statuses are under way. */
constexpr std::size_t RememberedNumbers = 256;
/** A switch waits so long for the statuses of its ranks. */
constexpr milliseconds StatusPatience{300};
/** After a switch, until statuses show it. */
constexpr milliseconds SettlePause{350};
/** Low bits of a map's number that are drawn at random, so that two keepers never use one number for two maps: with 12
 * of them a model of the protocol found two maps of one number in 3,000 schedules. With the seconds since EpochStart
 * above them, numbers stay whole in a 53-bit fraction until 2054. */
constexpr unsigned RandomBits = 23;
/** Numbers count from here. */
constexpr std::chrono::sys_days EpochStart = std::chrono::year(2020) / 1 / 1;

std::string twoDigits(double number)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", number);
    return text.data();
}

} // namespace

GroupKeeper::GroupKeeper(RankControl &control, GroupKeeperOptions options, KeeperEvents events, const Clock &clock,
                         std::function<std::uint64_t()> drawBits)
    : m_control(control)
    , m_options(options)
    , m_events(std::move(events))
    , m_clock(clock)
    , m_drawBits(std::move(drawBits))
    , m_survey(control, options.countPeriod)
    , m_alive(std::make_shared<int>(0))
{
}

void GroupKeeper::setTargets(const std::vector<TargetEntry> &targets, const EngineProfile &profile,
                             std::chrono::milliseconds longestPause)
{
    m_longestPause = longestPause;
    m_survey.setShape(profile.layerSets, profile.experts);
    m_profile = profile;
    for (const auto &target : targets) {
        auto &member = m_members[target.id];
        member.target = target;
    }
    const auto erased = std::erase_if(m_members, [&targets](const auto &entry) {
        return std::none_of(targets.begin(), targets.end(),
                            [&entry](const auto &target) { return target.id == entry.first; });
    });
    if (erased > 0) {
        for (const auto &[name, group] : m_groups) {
            rebuildGroup(name);
        }
    }
}

void GroupKeeper::setActive(bool isActive, bool isConfirmed)
{
    m_isActive = isActive;
    if (m_isConfirmed && !isConfirmed) {
        m_unconfirmedSince = m_now;
        m_sawOther = false;
        m_highestBefore = {};
        for (const auto &[name, group] : m_groups) {
            m_highestBefore = std::max(m_highestBefore, group.highest);
        }
    }
    m_isConfirmed = isConfirmed;
}

void GroupKeeper::tick(SteadyTime now)
{
    m_now = now;
    askStatuses(now);
    for (auto &[name, group] : m_groups) {
        followGroup(name, group, now);
    }
    if (m_isActive && m_survey.tick(now, [this] { return surveyed(); })) {
        considerSwitches(now);
    }
    tellWatched();
}

void GroupKeeper::askStatuses(SteadyTime now)
{
    if (now < m_statusesDue) {
        return;
    }
    // A group that forms or is held takes no streams, and each moment in which nobody knows that it goes on is lost.
    const bool isSettled = !m_groups.empty()
        && std::all_of(m_groups.begin(), m_groups.end(),
                       [this](const auto &entry) { return isWhole(entry.second) && !entry.second.heldStep; });
    m_statusesDue = now + (isSettled ? m_options.statusPeriod : m_options.statusPeriod / 2);
    for (auto &[id, member] : m_members) {
        askStatus(member, now);
    }
}

void GroupKeeper::tellWatched()
{
    if (!std::exchange(m_hasNews, false) || !m_events.watched) {
        return;
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
        const auto &group = m_groups[status.group];
        engines.push_back({.target = id,
                           .group = status.group,
                           .isOpen = status.epoch == group.epoch && takesStreams(group),
                           .running = status.running,
                           .waiting = status.waiting,
                           .pace = status.pace,
                           .passTime = group.passTime,
                           .at = member.askedAt});
    }
    m_events.watched(std::move(engines));
}

double GroupKeeper::lastSkew() const
{
    return m_lastSkew;
}

void GroupKeeper::askStatus(Member &member, SteadyTime now)
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
                             takeStatus(found->second, *known, now);
                         } else {
                             missStatus(found->second, *errorIn(status));
                         }
                     });
}

void GroupKeeper::missStatus(Member &member, const Error &error)
{
    const bool isOther = error.kind == ErrorKind::NotFound;
    if (!member.status || (++member.misses < MissesToForget && !isOther)) {
        return;
    }
    // Gone, or another run of the engine answers in its place: its group is not whole until somebody has its rank.
    const auto group = member.status->group;
    member.status.reset();
    m_hasNews = true;
    rebuildGroup(group);
}

void GroupKeeper::takeStatus(Member &member, const RankStatus &status, SteadyTime now)
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
    noticeOthers(status);
    auto &group = m_groups[status.group];
    group.highest = std::max(
        {group.highest, status.map, status.prepared.value_or(MapNumber{}), status.armed.value_or(MapNumber{})});
    if (isNew) {
        rebuildGroup(status.group);
    }
    group.lastHeld = std::max(group.lastHeld, status.heldStep.value_or(0));
    followHold(group, now);
    if (status.rank != 0 || status.epoch != group.epoch) {
        return;
    }
    if (status.step > group.lastStep && group.lastStep > 0 && group.lastStepAt != SteadyTime{}) {
        const auto passes = static_cast<std::int64_t>(status.step - group.lastStep);
        const auto span = std::chrono::duration_cast<milliseconds>(now - group.lastStepAt);
        group.passTime = std::clamp(span / passes, milliseconds(10), milliseconds(300));
    }
    group.lastStep = status.step;
    group.lastStepAt = now;
    const bool standsStill = group.heldStep && status.step + 1 >= *group.heldStep;
    if (standsStill != group.standsSince.has_value()) {
        group.standsSince = standsStill ? std::optional(now) : std::nullopt;
    }
    if (group.layout && status.map != group.layoutMap && status.step >= group.layoutFrom && !group.mapSwitch) {
        group.layout.reset(); // somebody else has switched
    }
}

void GroupKeeper::noticeOthers(const RankStatus &status)
{
    const auto newest = std::max(status.map, status.prepared.value_or(MapNumber{}));
    if (!m_isConfirmed && newest > m_highestBefore && !m_ownNumbers.contains(newest)) {
        m_sawOther = true;
    }
}

bool GroupKeeper::givesWay(SteadyTime now) const
{
    // Two keepers that switch one group make each other fail, and each failure holds it for a second.
    return !m_isConfirmed && (m_sawOther || now - m_unconfirmedSince < GivingWay);
}

bool GroupKeeper::mayBeAnothers(const Group &group, SteadyTime now) const
{
    // The log turns away this process alone, perhaps, and has given its share to another that has had nothing to do
    // yet. Without the pause both switched at the next shift of demand, and the group stood still for 1.3 s.
    return !m_isConfirmed && now - *group.unevenSince < UnconfirmedPause;
}

void GroupKeeper::followHold(Group &group, SteadyTime now)
{
    // Switches hold at rank 0 and recoveries at another, and either may have come late: any rank may hold.
    std::optional<std::uint64_t> held;
    for (const auto &id : group.ranks) {
        const auto member = m_members.find(id);
        if (member == m_members.end() || !member->second.status || !member->second.status->heldStep) {
            continue;
        }
        const auto step = *member->second.status->heldStep;
        held = held ? std::min(*held, step) : step;
    }
    if (held != group.heldStep) {
        group.heldStep = held;
        group.heldSince = now;
        group.patienceDraw = milliseconds(m_drawBits() % PatienceDraw.count());
    }
}

void GroupKeeper::rebuildGroup(const GroupName &name)
{
    auto &group = m_groups[name];
    std::uint64_t epoch = 0;
    for (const auto &[id, member] : m_members) {
        if (member.status && member.status->group == name) {
            epoch = std::max(epoch, member.status->epoch);
        }
    }
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
    const bool isOpen = std::all_of(ranks.begin(), ranks.end(), [this](const auto &id) {
        return !id.isEmpty() && m_members.at(id).status->isOpen;
    });
    if (epoch != group.epoch) {
        group.lastStep = 0;
        group.lastHeld = 0;
        group.heldStep.reset();
    }
    if (ranks != group.ranks || epoch != group.epoch) {
        group.layout.reset();
        group.mapSwitch.reset();
        group.recovery.reset();
        group.wanted.reset();
    }
    group.ranks = std::move(ranks);
    group.epoch = epoch;
    group.isOpen = isOpen;
}

bool GroupKeeper::isWhole(const Group &group) const
{
    return group.isOpen && !group.ranks.empty()
        && std::all_of(group.ranks.begin(), group.ranks.end(),
                       [this](const auto &id) { return !id.isEmpty() && m_members.contains(id); });
}

bool GroupKeeper::takesStreams(const Group &group) const
{
    // One rank that says that its group does not work speaks for all: the one that died said last that it works, and
    // looks idle. It drew 577 attempts in a day that never reached it.
    const bool isBroken = std::any_of(group.ranks.begin(), group.ranks.end(), [this](const auto &id) {
        const auto member = m_members.find(id);
        return member != m_members.end() && member->second.status && !member->second.status->isOpen;
    });
    // After a start the first few engines whose statuses have come would get all that waits: 36 streams went to four
    // engines of sixteen, and their callers left. Ranks that stay out of reach from here must not close a group,
    // though.
    const auto known =
        std::count_if(group.ranks.begin(), group.ranks.end(), [](const auto &id) { return !id.isEmpty(); });
    return !isBroken && static_cast<std::size_t>(known) * 2 >= group.ranks.size();
}

std::vector<TargetEntry> GroupKeeper::targetsOf(const Group &group) const
{
    std::vector<TargetEntry> targets;
    for (const auto &id : group.ranks) {
        targets.push_back(m_members.at(id).target);
    }
    return targets;
}

void GroupKeeper::followGroup(const GroupName &name, Group &group, SteadyTime now)
{
    if (!isWhole(group)) {
        group.mapSwitch.reset();
        group.recovery.reset();
        group.wanted.reset();
        return;
    }
    if (group.recovery) {
        runRecovery(name, group, now);
    } else if (group.mapSwitch) {
        runSwitch(name, group, now);
    } else if (group.heldStep) {
        watchHold(name, group, now);
    } else if (group.wanted && (hasFreshStatuses(group) || now - group.gatheredAt > StatusPatience)) {
        startSwitch(name, group, now);
    } else if (m_isActive && !group.layout) {
        readExperts(group);
    }
}

void GroupKeeper::watchHold(const GroupName &name, Group &group, SteadyTime now)
{
    group.wanted.reset();
    const bool isStuck = isLeftHeld(group, now);
    const bool isOwn = group.startedAt != SteadyTime{} && now - group.startedAt < ForeignHoldPatience * 3;
    if ((!isStuck && !isOwn) || now < group.recoveryNotBefore) {
        return;
    }
    tell("hold-recovery", name, "step " + std::to_string(*group.heldStep));
    group.recovery = std::make_unique<HoldRecovery>(m_control,
                                                    RecoveryPlan{.ranks = targetsOf(group),
                                                                 .epoch = group.epoch,
                                                                 .heldStep = *group.heldStep,
                                                                 .experts = static_cast<std::size_t>(m_profile.experts),
                                                                 .mayJoin = now - group.heldSince > JoinPatience},
                                                    [this, &group](MapNumber seen) {
                                                        group.highest = std::max(group.highest, seen);
                                                        group.highest = drawNumber(group);
                                                        m_ownNumbers.insert(group.highest);
                                                        return group.highest;
                                                    });
}

bool GroupKeeper::isLeftHeld(const Group &group, SteadyTime now) const
{
    const auto more = m_isActive ? milliseconds(0) : InactivePatience + group.patienceDraw;
    const bool standsStill = group.standsSince && now - *group.standsSince > StandstillPatience + more;
    return standsStill || now - group.heldSince > ForeignHoldPatience + more;
}

void GroupKeeper::runRecovery(const GroupName &name, Group &group, SteadyTime now)
{
    group.recovery->tick(now);
    const auto end = group.recovery->end();
    if (end == HoldRecovery::End::Running) {
        return;
    }
    tell(end == HoldRecovery::End::Released ? "hold-released" : "hold-recovery-ended", name, group.recovery->reason());
    // Drawn pauses that grow, so that processes that recover one group don't overtake each other for ever.
    group.recoveryPause = end == HoldRecovery::End::Failed
        ? std::clamp(group.recoveryPause * 2, FirstRecoveryPause, LongestRecoveryPause)
        : milliseconds(0);
    const auto span = static_cast<std::uint64_t>(group.recoveryPause.count()) + 1;
    group.recoveryNotBefore = now + SettlePause + milliseconds(m_drawBits() % span);
    group.startedAt = {};
    // Ranks that could be fenced answer, so a switch can be tried again at once: the group has waited for an even map
    // all the while, and its passes are two to three times as long until then.
    group.notBefore = now + (end == HoldRecovery::End::Failed ? FailurePause : SettlePause);
    group.layout.reset();
    group.recovery.reset();
}

void GroupKeeper::runSwitch(const GroupName &name, Group &group, SteadyTime now)
{
    group.mapSwitch->tick(now, !holdsAnother(group));
    const auto end = group.mapSwitch->end();
    if (end == MapSwitch::End::Running) {
        return;
    }
    const auto &plan = group.mapSwitch->plan();
    const auto took = std::chrono::duration_cast<milliseconds>(now - group.startedAt);
    const auto outcome = end == MapSwitch::End::Switched ? "map-switched"
        : end == MapSwitch::End::Abandoned               ? "map-switch-abandoned"
                                                         : "map-switch-stuck";
    tell(outcome, name,
         "map " + std::to_string(toNumber(plan.number)) + " step " + std::to_string(group.mapSwitch->heldStep())
             + " ms " + std::to_string(took.count()) + " skew " + twoDigits(group.skewBefore) + " to "
             + twoDigits(group.skewAfter) + " " + group.mapSwitch->reason());
    group.highest = std::max(group.highest, plan.number);
    group.lastHeld = std::max(group.lastHeld, group.mapSwitch->heldStep());
    if (end == MapSwitch::End::Switched) {
        group.layout = plan.layout;
        group.layoutMap = plan.number;
        group.layoutFrom = group.mapSwitch->heldStep();
        group.notBefore = now + SettlePause;
        group.startedAt = {};
    } else {
        group.notBefore = now + FailurePause;
        if (end == MapSwitch::End::Abandoned) {
            group.startedAt = {};
        }
    }
    if (group.mapSwitch->mostSends() >= SendsThatTellOfLoss) {
        group.lossyUntil = now + LossyTime;
    }
    group.mapSwitch.reset();
}

bool GroupKeeper::holdsAnother(const Group &group) const
{
    // One at a time: if this process dies or is paused in the midst of its switches, no more than one group waits for
    // somebody to let it go. With two switched at once all engines stood still for 2 s and more.
    return std::any_of(m_groups.begin(), m_groups.end(), [&group](const auto &entry) {
        return &entry.second != &group && entry.second.mapSwitch && entry.second.mapSwitch->isHolding();
    });
}

void GroupKeeper::readExperts(Group &group)
{
    if (group.isAskingExperts) {
        return;
    }
    group.isAskingExperts = true;
    auto missing = std::make_shared<std::size_t>(group.ranks.size());
    const auto name = m_members.at(group.ranks.front()).status->group;
    for (const auto &id : group.ranks) {
        m_members.at(id).experts.reset();
        m_control.experts(m_members.at(id).target,
                          [this, id, name, missing, alive = std::weak_ptr(m_alive)](Result<RankExperts> experts) {
                              if (alive.expired()) {
                                  return;
                              }
                              if (const auto found = m_members.find(id);
                                  found != m_members.end() && errorIn(experts) == nullptr) {
                                  found->second.experts = std::get<RankExperts>(std::move(experts));
                              }
                              if (--*missing == 0) {
                                  m_groups[name].isAskingExperts = false;
                                  assembleLayout(m_groups[name]);
                              }
                          });
    }
}

void GroupKeeper::assembleLayout(Group &group)
{
    if (!isWhole(group)) {
        return;
    }
    ExpertLayout layout(static_cast<std::size_t>(m_profile.layerSets), SetLayout(group.ranks.size()));
    std::optional<MapNumber> map;
    for (std::size_t rank = 0; rank < group.ranks.size(); ++rank) {
        const auto &experts = m_members.at(group.ranks[rank]).experts;
        if (!experts || experts->bySet.size() != layout.size() || (map && *map != experts->map)) {
            return; // a switch is on its way; read again at the next tick
        }
        map = experts->map;
        for (std::size_t set = 0; set < layout.size(); ++set) {
            layout[set][rank] = experts->bySet[set];
        }
    }
    const bool isSound = std::all_of(layout.begin(), layout.end(), [this](const auto &set) {
        return isComplete(set, static_cast<std::size_t>(m_profile.experts), static_cast<std::size_t>(m_profile.places));
    });
    if (isSound) {
        group.layout = std::move(layout);
        group.layoutMap = *map;
        group.layoutFrom = 0;
    }
}

std::vector<TargetEntry> GroupKeeper::surveyed() const
{
    std::vector<TargetEntry> ranks;
    for (const auto &[name, group] : m_groups) {
        if (isWhole(group)) {
            const auto targets = targetsOf(group);
            ranks.insert(ranks.end(), targets.begin(), targets.end());
        }
    }
    return ranks;
}

void GroupKeeper::considerSwitches(SteadyTime now)
{
    m_lastSkew = 0;
    for (auto &[name, group] : m_groups) {
        if (isWhole(group) && group.layout) {
            m_lastSkew = std::max(m_lastSkew, layoutSkew(*group.layout, m_survey.bySet(), slownessOf(group)));
            considerSwitch(name, group, now);
        }
    }
}

void GroupKeeper::considerSwitch(const GroupName &name, Group &group, SteadyTime now)
{
    const bool isFree = !group.mapSwitch && !group.recovery && !group.wanted && !group.heldStep;
    if (!isFree || now < group.notBefore || givesWay(now)) {
        return;
    }
    const auto copies = std::min(m_options.newPerRank, static_cast<std::size_t>(std::max(m_profile.sparePlaces, 0)));
    const auto slowness = slownessOf(group);
    const bool isShort = group.passTime <= m_longestPause * m_options.calmPart;
    const auto evenness = isShort ? RoughEvenness : ThoroughEvenness;
    auto layout = improveEvenly(*group.layout, m_survey.bySet(),
                                {.places = static_cast<std::size_t>(m_profile.places),
                                 .newPerRank = copies,
                                 .goodSkew = evenness.goodSkew,
                                 .leastGain = evenness.leastGain,
                                 .slowness = slowness});
    group.skewBefore = layoutSkew(*group.layout, m_survey.bySet(), slowness);
    group.skewAfter = layoutSkew(layout, m_survey.bySet(), slowness);
    const auto most = mostCopies(*group.layout, layout);
    // While orders get lost a switch holds its group for many passes, and may have to be taken back.
    const bool isCalm = isShort || now < group.lossyUntil;
    const bool isWorth =
        group.skewBefore - group.skewAfter >= (isCalm ? m_options.leastGainWhenCalm : m_options.leastGain);
    tell(isWorth ? "map-wanted" : "map-kept", name,
         "skew " + twoDigits(group.skewBefore) + " to " + twoDigits(group.skewAfter) + " copies " + std::to_string(most)
             + " distance " + twoDigits(m_survey.lastDistance()) + " pass-ms "
             + std::to_string(group.passTime.count()));
    if (!isWorth) {
        group.unevenSince.reset();
        return;
    }
    if (!group.unevenSince) {
        group.unevenSince = now;
    }
    if (mayBeAnothers(group, now)) {
        return;
    }
    group.unevenSince.reset();
    const auto copyTime = m_profile.expertCopy * static_cast<double>(most);
    group.wanted = SwitchPlan{.layout = std::move(layout),
                              .copyTime = std::chrono::duration_cast<milliseconds>(copyTime),
                              .passTime = group.passTime};
    gatherStatuses(group, now);
}

RankSlowness GroupKeeper::slownessOf(const Group &group) const
{
    RankSlowness slowness;
    for (const auto &id : group.ranks) {
        const auto member = m_members.find(id);
        const bool isKnown = member != m_members.end() && member->second.status;
        slowness.push_back(isKnown ? std::max(1.0, member->second.status->pace) : 1.0);
    }
    return slowness;
}

void GroupKeeper::gatherStatuses(Group &group, SteadyTime now)
{
    group.gatheredAt = now;
    for (const auto &id : group.ranks) {
        askStatus(m_members.at(id), now);
    }
}

bool GroupKeeper::hasFreshStatuses(const Group &group) const
{
    return std::all_of(group.ranks.begin(), group.ranks.end(),
                       [&](const auto &id) { return m_members.at(id).answeredAt >= group.gatheredAt; });
}

void GroupKeeper::startSwitch(const GroupName &name, Group &group, SteadyTime now)
{
    auto plan = *std::exchange(group.wanted, {});
    for (const auto &id : group.ranks) {
        const auto &status = *m_members.at(id).status;
        const bool isSame = status.map == group.layoutMap || status.step < group.layoutFrom;
        if (m_members.at(id).answeredAt < group.gatheredAt) {
            tell("map-switch-put-off", name, "a rank does not answer: " + id.text());
            group.notBefore = now + SettlePause;
            return;
        }
        if (status.armed || status.heldStep || status.epoch != group.epoch || !isSame) {
            tell("map-switch-put-off", name, "a rank is not as expected: " + id.text());
            group.notBefore = now + SettlePause;
            group.layout.reset();
            return;
        }
    }
    plan.ranks = targetsOf(group);
    plan.epoch = group.epoch;
    plan.number = drawNumber(group);
    plan.after = group.lastHeld;
    m_ownNumbers.insert(plan.number);
    if (m_ownNumbers.size() > RememberedNumbers) {
        m_ownNumbers.erase(m_ownNumbers.begin());
    }
    group.startedAt = now;
    group.mapSwitch = std::make_unique<MapSwitch>(m_control, std::move(plan));
    group.mapSwitch->tick(now);
}

MapNumber GroupKeeper::drawNumber(const Group &group)
{
    // Calendar time goes before: ranks refuse numbers below any that they had, also from keepers that are gone.
    const auto since = std::chrono::duration_cast<std::chrono::seconds>(m_clock.wallNow() - EpochStart);
    const auto seconds = static_cast<std::uint64_t>(std::max<std::int64_t>(since.count(), 0));
    const auto above = std::max((toNumber(group.highest) >> RandomBits) + 1, seconds);
    const auto bits = m_drawBits() & ((1U << RandomBits) - 1);
    return static_cast<MapNumber>((above << RandomBits) | bits);
}

void GroupKeeper::tell(std::string_view what, const GroupName &group, const std::string &details) const
{
    if (m_events.decided) {
        m_events.decided(what, group, details);
    }
}

} // namespace Heatherridge
