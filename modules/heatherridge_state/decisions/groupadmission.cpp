#include "heatherridge_state/decisions/groupadmission.h"

#include "heatherridge_state/decisions/slowstart.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

/** How long sent streams are remembered: twice the longest pass. */
constexpr std::chrono::milliseconds SendHistory = GroupAdmission::MaxPass * 2;
/**
 * Weight, in own requests, of the assumption that all entries send alike, compared with what was observed of the
 * others.
 */
constexpr double PriorOwnRequests = 4;
/** Maximum growth of a starting group from one pass to the next. */
constexpr double MaxGrowth = 2;
/** Assumed slowdown of the work in the first passes of a group, because of its initial map. */
constexpr double InitialSlowdown = 2;

/** Returns the requests of all entries, those of the others corrected by what these have stated. */
double requestsByStatements(const GroupLoad &load)
{
    const double others = load.requests - load.ownRequests;
    return load.ownRequests + others * load.others.factor + load.others.perEngine * static_cast<double>(load.engines);
}

/**
 * Estimates by how much the requests of the other entries have grown since the engines last reported their load,
 * assuming that they have grown like those of this entry.
 */
double estimateOthersGrowth(const GroupLoad &load, double share)
{
    const double others = load.requests - load.ownRequests;
    const double othersPerOwn =
        (others + PriorOwnRequests * (1 / share - 1)) / (load.ownRequestsAtReport + PriorOwnRequests);
    const double growth = (load.ownRequests - load.ownRequestsAtReport) * load.others.growthWeight;
    return std::max(growth * othersPerOwn, -others);
}

/** Returns the factor by which the requests of a newly opened group may grow after a pass of @p pass. */
double growthFactor(std::chrono::milliseconds pass, const PassTimeModel &passTimes)
{
    const auto workTime = std::max(pass - passTimes.baseTime, PassTimeModel::Milliseconds(1));
    return std::clamp((passTimes.maxPassTime - passTimes.baseTime) / workTime, 0.5, MaxGrowth);
}

/**
 * Returns the requests per engine that a group gets before its first measured pass. All their prompts are read in that
 * first pass, with a map that is expected to double the work.
 */
double initialRequests(const PassTimeModel &passTimes)
{
    const auto perStream = passTimes.timePerRequest + passTimes.promptTime;
    return perStream.count() > 0
        ? std::max(1.0, (passTimes.maxPassTime - passTimes.baseTime) / (perStream * InitialSlowdown))
        : 1;
}

double perEngine(double all, const GroupLoad &load)
{
    return all / static_cast<double>(std::max<std::size_t>(load.engines, 1));
}

} // namespace

void GroupAdmission::setOpen(bool isOpen, SteadyTime now)
{
    if (isOpen && !m_isOpen) {
        m_slowdown = {}; // passes before the closure are not comparable
        m_openedAt = now;
        m_isStarting = true;
        m_provenRequests.reset();
        m_requestsAtPass = 0;
        m_lastPass.reset();
    }
    m_isOpen = isOpen;
}

bool GroupAdmission::isStarting() const
{
    return m_isOpen && m_isStarting;
}

void GroupAdmission::recordSent(SteadyTime now)
{
    m_sendTimes.push_back(now);
    while (now - m_sendTimes.front() > SendHistory) {
        m_sendTimes.pop_front();
    }
}

void GroupAdmission::recordPause(std::chrono::milliseconds pause, SteadyTime now)
{
    // All streams of a group have an event in each pass, so one sample per pass is enough.
    if (now - m_slowdown.lastRecordedAt() < pause / 2) {
        return;
    }
    // Streams sent during the previous pass were read in this one; the other entries are assumed to send alike.
    const double prompts = countSentWithin(now - pause * 2, now - pause) / m_share;
    m_slowdown.record(std::min(pause, MaxPass), {.requests = m_requestsAtPass, .prompts = perEngine(prompts, m_load)},
                      m_passTimes, !m_load.hasSlowRank, now);
    if (m_requestsAtPass > 0) {
        m_provenRequests = m_requestsAtPass * growthFactor(pause, m_passTimes);
    }
    m_requestsAtPass = perEngine(m_load.requests, m_load);
    m_lastPass = pause;
}

EngineGroup GroupAdmission::evaluate(const GroupLoad &load, const PassTimeModel &passTimes, double share,
                                     SteadyTime now)
{
    m_load = load;
    m_load.requests = requestsByStatements(load);
    m_load.requests += estimateOthersGrowth(m_load, share);
    m_passTimes = passTimes;
    m_share = share;
    if (m_isStarting && now - m_openedAt >= SlowStartDuration) {
        m_isStarting = false;
        m_slowdown.discardOldSamples();
    }
    if (!m_isStarting && now - m_slowdown.lastRecordedAt() > PauseLifetime) {
        m_slowdown.record(load.reportedPass, {.requests = perEngine(m_load.requests, m_load)}, passTimes,
                          !load.hasSlowRank, now);
    }
    const double slowdown = m_slowdown.current();
    const auto limit = m_isStarting ? startingLimit(slowdown) : establishedLimit(slowdown);
    return {.isStalled = load.isStalled,
            .hasHeadroom = countSentWithin(now - limit.interval, now) < limit.maxStreams,
            .hasHeadroomForLate = limit.headroomForLate >= 1,
            .headroom = std::min(limit.headroom, load.slots - m_load.requests),
            .cannotBeOnTime = !m_isStarting && Heatherridge::cannotBeOnTime(slowdown, passTimes)};
}

GroupAdmission::SendLimit GroupAdmission::startingLimit(double slowdown) const
{
    const double onTime = maxRequestsOnTime(slowdown, m_load.engines, m_passTimes);
    double provenRequests =
        m_provenRequests.value_or(initialRequests(m_passTimes)) * static_cast<double>(m_load.engines);
    if (m_load.others.isStated) {
        // The group may have been open long before this entry started: it carries what the others state.
        const double others = m_load.requests - m_load.ownRequests;
        provenRequests =
            std::max(provenRequests, others + initialRequests(m_passTimes) * static_cast<double>(m_load.engines));
    }
    const double headroom = std::min(onTime, provenRequests) - m_load.requests;
    // An entry without a stream of its own in the group cannot observe any of its passes.
    const bool maySend = headroom >= 1 || m_load.ownRequests == 0;
    const auto share = static_cast<int>(std::lround(std::max(headroom, 0.0) * m_share));
    return {.headroom = headroom,
            .headroomForLate = headroom,
            .maxStreams = maySend ? std::max(share, 1) : 0,
            .interval = m_lastPass ? SteadyTime::duration(*m_lastPass)
                                   : std::chrono::duration_cast<SteadyTime::duration>(m_passTimes.maxPassTime)};
}

GroupAdmission::SendLimit GroupAdmission::establishedLimit(double slowdown) const
{
    const double headroom = maxRequestsOnTime(slowdown, m_load.engines, m_passTimes) - m_load.requests;
    const auto pass = m_passTimes.idealPassTime(perEngine(m_load.requests, m_load), 0) * slowdown;
    return {.headroom = headroom,
            .headroomForLate =
                maxRequestsOnTime(m_slowdown.highPercentile(), m_load.engines, m_passTimes) - m_load.requests,
            .maxStreams = maxStreamsPerPass(headroom, m_passTimes, m_share),
            .interval = std::chrono::duration_cast<SteadyTime::duration>(pass)};
}

int GroupAdmission::countSentWithin(SteadyTime after, SteadyTime until) const
{
    return static_cast<int>(std::count_if(m_sendTimes.begin(), m_sendTimes.end(),
                                          [&](auto sentAt) { return sentAt > after && sentAt <= until; }));
}

} // namespace Heatherridge
