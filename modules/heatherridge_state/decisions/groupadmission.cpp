#include "heatherridge_state/decisions/groupadmission.h"

#include "heatherridge_state/decisions/slowstart.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

/** Streams that were sent are remembered for so long: two of the longest passes. */
constexpr std::chrono::milliseconds SendMemory = GroupAdmission::LongestPass * 2;
/** Weight, in own requests, of the assumption that all entries send alike, against what was seen of the others. */
constexpr double PriorOwn = 4;
/** Growth of a starting group from one pass to the next. */
constexpr double MostGrowth = 2;
/** Of the work in the first passes of a group, by its first map. */
constexpr double FirstStretch = 2;

/** What the other entries' part of a group has grown by since its engines last told their load, if it has grown as this
 * entry's has. */
double othersGrowth(const GroupWork &work, double share)
{
    const double others = work.requests - work.own;
    const double othersForEach = (others + PriorOwn * (1 / share - 1)) / (work.ownReported + PriorOwn);
    const double growth = work.own - work.ownReported;
    return std::max(growth * othersForEach, -others);
}

/** By how much the requests of a group that has just opened may grow after a pass of @p pass. */
double growthAfter(std::chrono::milliseconds pass, const PassTimeModel &rules)
{
    const auto ofWork = std::max(pass - rules.baseTime, PassTimeModel::Milliseconds(1));
    return std::clamp((rules.maxPassTime - rules.baseTime) / ofWork, 0.5, MostGrowth);
}

/** Requests an engine that a group is given before it has shown a pass: their prompts are all read in its first pass,
 * with a map that is expected to double the work of it. */
double firstRequests(const PassTimeModel &rules)
{
    const auto each = rules.timePerRequest + rules.promptTime;
    return each.count() > 0 ? std::max(1.0, (rules.maxPassTime - rules.baseTime) / (each * FirstStretch)) : 1;
}

double perEngine(double all, const GroupWork &work)
{
    return all / static_cast<double>(std::max<std::size_t>(work.engines, 1));
}

} // namespace

void GroupAdmission::setOpen(bool isOpen, SteadyTime now)
{
    if (isOpen && !m_isOpen) {
        m_stretch = {}; // its passes are others than before
        m_openSince = now;
        m_isStarting = true;
        m_proven.reset();
        m_requestsAtPass = 0;
        m_lastPass.reset();
    }
    m_isOpen = isOpen;
}

bool GroupAdmission::isStarting() const
{
    return m_isOpen && m_isStarting;
}

void GroupAdmission::sent(SteadyTime now)
{
    m_sent.push_back(now);
    while (now - m_sent.front() > SendMemory) {
        m_sent.pop_front();
    }
}

void GroupAdmission::recordPause(std::chrono::milliseconds pause, SteadyTime now)
{
    // All streams of a group have an event in each pass; one sample a pass is enough.
    if (now - m_stretch.lastRecordedAt() < pause / 2) {
        return;
    }
    // What was sent during the pass before was read in this one; the other entries send as this one does.
    const double prompts = sentWithin(now - pause * 2, now - pause) / m_share;
    m_stretch.record(std::min(pause, LongestPass),
                     {.requests = m_requestsAtPass, .prompts = perEngine(prompts, m_work)}, m_rules,
                     !m_work.hasSlowRank, now);
    if (m_requestsAtPass > 0) {
        m_proven = m_requestsAtPass * growthAfter(pause, m_rules);
    }
    m_requestsAtPass = perEngine(m_work.requests, m_work);
    m_lastPass = pause;
}

EngineGroup GroupAdmission::view(const GroupWork &work, const PassTimeModel &rules, double share, SteadyTime now)
{
    m_work = work;
    m_work.requests += othersGrowth(work, share);
    m_rules = rules;
    m_share = share;
    if (m_isStarting && now - m_openSince >= SlowStartDuration) {
        m_isStarting = false;
        m_stretch.discardOldSamples();
    }
    if (!m_isStarting && now - m_stretch.lastRecordedAt() > PauseMemory) {
        m_stretch.record(work.reportedPass, {.requests = perEngine(m_work.requests, m_work)}, rules, !work.hasSlowRank,
                         now);
    }
    const double stretch = m_stretch.current();
    const auto bound = m_isStarting ? startingBound(stretch) : establishedBound(stretch);
    return {.isStalled = work.isStalled,
            .hasRoom = sentWithin(now - bound.span, now) < bound.streams,
            .hasRoomForLate = bound.roomForLate >= 1,
            .room = std::min(bound.room, work.slots - m_work.requests),
            .cannotBeOnTime = !m_isStarting && Heatherridge::cannotBeOnTime(stretch, rules)};
}

GroupAdmission::Bound GroupAdmission::startingBound(double stretch) const
{
    const double onTime = maxRequestsOnTime(stretch, m_work.engines, m_rules);
    const double proven = m_proven.value_or(firstRequests(m_rules)) * static_cast<double>(m_work.engines);
    const double room = std::min(onTime, proven) - m_work.requests;
    // An entry without a stream of its own in the group sees none of its passes.
    const bool maySend = room >= 1 || m_work.own == 0;
    const auto share = static_cast<int>(std::lround(std::max(room, 0.0) * m_share));
    return {.room = room,
            .roomForLate = room,
            .streams = maySend ? std::max(share, 1) : 0,
            .span = m_lastPass ? SteadyTime::duration(*m_lastPass)
                               : std::chrono::duration_cast<SteadyTime::duration>(m_rules.maxPassTime)};
}

GroupAdmission::Bound GroupAdmission::establishedBound(double stretch) const
{
    const double room = maxRequestsOnTime(stretch, m_work.engines, m_rules) - m_work.requests;
    const auto pass = m_rules.idealPassTime(perEngine(m_work.requests, m_work), 0) * stretch;
    return {.room = room,
            .roomForLate = maxRequestsOnTime(m_stretch.highPercentile(), m_work.engines, m_rules) - m_work.requests,
            .streams = maxStreamsPerPass(room, m_rules, m_share),
            .span = std::chrono::duration_cast<SteadyTime::duration>(pass)};
}

int GroupAdmission::sentWithin(SteadyTime after, SteadyTime until) const
{
    return static_cast<int>(
        std::count_if(m_sent.begin(), m_sent.end(), [&](auto sentAt) { return sentAt > after && sentAt <= until; }));
}

} // namespace Heatherridge
