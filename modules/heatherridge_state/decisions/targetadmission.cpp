#include "heatherridge_state/decisions/targetadmission.h"

#include "heatherridge_state/base/result.h"

#include <algorithm>

namespace Heatherridge
{

using std::chrono::milliseconds;

bool TargetAdmission::apply(const TargetStatement &statement, double share, SteadyTime now, RandomSource &random)
{
    return std::visit(Visitor{[&](const RateLimitStatement &limit) {
                                  const bool isNew = m_limit.requestsPerSecond() != limit.requestsPerSecond;
                                  m_limit.update(limit.requestsPerSecond, share, now, random);
                                  return isNew;
                              },
                              [&](const BackoffStatement &backoff) {
                                  const auto end = now + std::min<milliseconds>(backoff.duration, MaxBackoff);
                                  const bool isLonger = end > std::max(m_backoffUntil, now);
                                  m_backoffUntil = std::max(m_backoffUntil, end);
                                  return isLonger;
                              },
                              [&](const DrainingStatement &) {
                                  const bool isNew = !isDraining(now);
                                  m_drainingUntil = now + DrainingRetention;
                                  return isNew;
                              },
                              [&](const WarmUpStatement &warmUp) { return m_warmUp.begin(warmUp.remaining, now); }},
                      statement);
}

bool TargetAdmission::isDraining(SteadyTime now) const
{
    return now < m_drainingUntil;
}

milliseconds TargetAdmission::timeUntilAllowed(const AdmissionShare &share, SteadyTime now) const
{
    const auto backoff = std::max(milliseconds(0), std::chrono::ceil<milliseconds>(m_backoffUntil - now));
    const auto warmUp = share.warmUpRequests ? m_warmUp.timeUntilAllowed(*share.warmUpRequests, now) : milliseconds(0);
    return std::max({backoff, warmUp, m_limit.timeUntilAllowed(share.rateLimit, now)});
}

bool TargetAdmission::isWarmingUp(SteadyTime now) const
{
    return m_warmUp.isWarmingUp(now);
}

void TargetAdmission::startWarmUp(milliseconds remaining, SteadyTime now)
{
    m_warmUp.begin(remaining, now);
}

void TargetAdmission::expectRestart()
{
    m_warmUp.expectRestart();
}

bool TargetAdmission::recordHeartbeat(std::uint64_t revision)
{
    return m_warmUp.recordHeartbeat(revision);
}

bool TargetAdmission::awaitsRestart() const
{
    return m_warmUp.awaitsRestart();
}

void TargetAdmission::recordAnswer(milliseconds warmUpTime, SteadyTime now)
{
    m_warmUp.recordAnswer(warmUpTime, now);
}

void TargetAdmission::recordSent(SteadyTime now)
{
    m_limit.recordSent(now);
    m_warmUp.recordSent(now);
}

bool TargetAdmission::isIdle(SteadyTime now) const
{
    return !m_limit.requestsPerSecond() && now >= m_backoffUntil && !isDraining(now) && !isWarmingUp(now);
}

} // namespace Heatherridge
