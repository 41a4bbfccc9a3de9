#include "heatherridge_state/decisions/rankadmission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Heatherridge
{

namespace
{

using Seconds = std::chrono::duration<double>;

/** Longest time that is considered for a share of less than one stream in a pass; sent streams are remembered for it.
 */
constexpr std::chrono::milliseconds SendHistory{1'000};
/** Upper limit of an expected wait: longer than any request lasts. */
constexpr Seconds MaxExpectedWait{3'600};

RankDemand rankOf(const ServiceDemand &demand, int priority)
{
    const auto found = demand.ranks.find(priority);
    return found == demand.ranks.end() ? RankDemand{} : found->second;
}

std::chrono::milliseconds waitFor(double streams, double perSecond)
{
    const auto wait = perSecond > 0 ? std::min(Seconds(streams / perSecond), MaxExpectedWait) : MaxExpectedWait;
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

} // namespace

bool RankAdmission::mayAdmit(int priority, const Capacity &capacity, const Demand &demand, SteadyTime now)
{
    m_levels[priority];
    update(capacity, demand, now);
    const auto &level = m_levels[priority];
    if (!level.isHeld && level.isHighest) {
        return true;
    }
    if (capacity.room >= 1 && hasAssuredStream(priority)) {
        return true;
    }
    const double allotment = level.room * capacity.share / std::max(capacity.promptWeight, 1.0);
    return !level.isHeld && !hasUsedShare(priority, allotment, capacity.pass, now);
}

void RankAdmission::recordAdmitted(int priority, SteadyTime now)
{
    auto &admitted = m_levels[priority];
    admitted.assuredStreams = std::max(admitted.assuredStreams - 1, 0.0);
    for (auto &[rank, level] : m_levels) {
        if (rank >= priority) {
            level.rate.record(now);
        }
    }
    m_sent.push_back({.at = now, .priority = priority});
    while (now - m_sent.front().at > SendHistory) {
        m_sent.pop_front();
    }
}

std::optional<std::chrono::milliseconds> RankAdmission::expectedWait(int priority, const Demand &demand,
                                                                     [[maybe_unused]] SteadyTime now) const
{
    const auto ahead = backlog(priority, demand);
    if (!ahead.admittedPerSecond) {
        return std::nullopt;
    }
    const auto wait = waitFor(ahead.streams, *ahead.admittedPerSecond);
    // The assured part does not wait for higher ranks.
    const auto rank = fleetDemand(priority, demand);
    return rank.arrivalsPerSecond > 0 ? std::min(wait, waitFor(rank.waiting, rank.arrivalsPerSecond * AssuredShare))
                                      : wait;
}

RankAdmission::Backlog RankAdmission::backlog(int priority, const Demand &demand) const
{
    const auto found = m_levels.find(priority);
    if (found == m_levels.end() || !m_share) {
        return {};
    }
    Backlog result{.admittedPerSecond = found->second.rate.perSecond()};
    for (const auto &[rank, level] : m_levels) {
        result.streams += rank <= priority ? fleetDemand(rank, demand).waiting * *m_share : 0;
    }
    return result;
}

bool RankAdmission::isHeld(int priority) const
{
    const auto found = m_levels.find(priority);
    return found != m_levels.end() && found->second.isHeld;
}

bool RankAdmission::isHighest(int priority) const
{
    const auto found = m_levels.find(priority);
    return found == m_levels.end() || found->second.isHighest;
}

int RankAdmission::highestRank() const
{
    int highest = 0;
    for (const auto &[priority, level] : m_levels) {
        highest = level.isHighest ? priority : highest;
    }
    return highest;
}

bool RankAdmission::hasAssuredStream(int priority) const
{
    const auto found = m_levels.find(priority);
    return found != m_levels.end() && found->second.assuredStreams >= 1;
}

void RankAdmission::tick(SteadyTime now)
{
    if (now - m_updatedAt <= HoldLifetime) {
        return;
    }
    for (auto &[priority, level] : m_levels) {
        setHeld(priority, level, false, level.room, 0);
    }
}

std::vector<RankAdmission::LevelChange> RankAdmission::takeChanges()
{
    return std::exchange(m_changes, {});
}

void RankAdmission::update(const Capacity &capacity, const Demand &demand, SteadyTime now)
{
    tick(now);
    m_share = capacity.share;
    for (const auto &[priority, rank] : demand.own.ranks) {
        m_levels[priority];
    }
    if (demand.others != nullptr) {
        for (const auto &[priority, rank] : demand.others->ranks) {
            m_levels[priority];
        }
    }
    const auto elapsed = m_updatedAt == SteadyTime{} ? Seconds(0) : Seconds(now - m_updatedAt);
    double reserved = 0;
    for (auto &[priority, level] : m_levels) {
        const double arrived = rankOf(demand.own, priority).arrivalsPerSecond * elapsed.count();
        level.assuredStreams = std::min(level.assuredStreams + arrived * AssuredShare, MaxAssuredStreams);
        updateLevel(priority, capacity, reserved, now);
        const auto fleet = fleetDemand(priority, demand);
        reserved += fleet.waiting + fleet.arrivalsPerSecond * Seconds(capacity.pass).count();
    }
    m_updatedAt = now;
}

void RankAdmission::updateLevel(int priority, const Capacity &capacity, double reserved, SteadyTime now)
{
    auto &level = m_levels[priority];
    level.isHighest = reserved < MinReserved;
    level.room = capacity.room - reserved;
    if (!level.isHighest && level.room < 1) {
        level.positiveSince.reset();
        setHeld(priority, level, true, capacity.room, reserved);
        return;
    }
    if (!level.isHeld) {
        return;
    }
    level.positiveSince = level.positiveSince.value_or(now);
    if (now - *level.positiveSince >= capacity.pass * PassesUntilAdmitted) {
        setHeld(priority, level, false, capacity.room, reserved);
    }
}

void RankAdmission::setHeld(int priority, Level &level, bool isHeld, double room, double reserved)
{
    if (level.isHeld != isHeld) {
        level.isHeld = isHeld;
        level.positiveSince.reset();
        m_changes.push_back({.priority = priority, .isHeld = isHeld, .room = room, .reserved = reserved});
    }
}

RankDemand RankAdmission::fleetDemand(int priority, const Demand &demand) const
{
    auto rank = rankOf(demand.own, priority);
    if (demand.others == nullptr) {
        const double share = m_share.value_or(1);
        rank.arrivalsPerSecond /= share;
        rank.waiting /= share;
        return rank;
    }
    const auto others = rankOf(*demand.others, priority);
    rank.arrivalsPerSecond += others.arrivalsPerSecond;
    rank.waiting += others.waiting;
    return rank;
}

bool RankAdmission::hasUsedShare(int priority, double allotment, std::chrono::milliseconds pass, SteadyTime now) const
{
    const auto period = std::min<Seconds>(pass / std::min(allotment, 1.0), SendHistory);
    const auto sent = std::count_if(m_sent.begin(), m_sent.end(), [&](const Sent &stream) {
        return stream.priority >= priority && Seconds(now - stream.at) < period;
    });
    return static_cast<double>(sent) >= std::max(std::floor(allotment), 1.0);
}

void RankAdmission::AdmissionRate::record(SteadyTime now)
{
    if (m_firstAt) {
        // The rate before the event: just after it, a low rate appears too high by one event per time constant. It is
        // scaled to the time since the first event, since the average of an earlier time does not exist.
        const double covered = 1 - std::exp(-(Seconds(now - *m_firstAt) / DecayingRate::TimeConstant));
        m_perSecond = covered > 0 ? std::optional(m_rate.perSecond(now) / covered) : std::nullopt;
    } else {
        m_firstAt = now;
    }
    m_rate.record(now);
}

std::optional<double> RankAdmission::AdmissionRate::perSecond() const
{
    return m_perSecond;
}

} // namespace Heatherridge
