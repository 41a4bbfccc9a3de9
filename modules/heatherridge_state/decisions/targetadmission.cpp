#include "heatherridge_state/decisions/targetadmission.h"

#include "heatherridge_state/base/result.h"

#include <algorithm>

namespace Heatherridge
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

bool TargetAdmission::apply(const TargetStatement &statement, double share, SteadyTime now, RandomSource &random)
{
    return std::visit(Visitor{[&](const RateLimitStatement &limit) {
                                  const bool isNew = m_limit.requestsPerSecond() != limit.requestsPerSecond;
                                  m_limit.update(limit.requestsPerSecond, share, now, random);
                                  return isNew;
                              },
                              [&](const RestStatement &rest) {
                                  const auto end = now + std::min<milliseconds>(rest.duration, MaxRest);
                                  const bool isLonger = end > std::max(m_restUntil, now);
                                  m_restUntil = std::max(m_restUntil, end);
                                  return isLonger;
                              },
                              [&](const LeavingStatement &) {
                                  const bool isNew = !isLeaving(now);
                                  m_leavingUntil = now + LeavingRetention;
                                  return isNew;
                              }},
                      statement);
}

bool TargetAdmission::isLeaving(SteadyTime now) const
{
    return now < m_leavingUntil;
}

milliseconds TargetAdmission::timeUntilAllowed(double share, SteadyTime now) const
{
    const auto rest = std::max(milliseconds(0), std::chrono::ceil<milliseconds>(m_restUntil - now));
    return std::max(rest, m_limit.timeUntilAllowed(share, now));
}

void TargetAdmission::recordSent(SteadyTime now)
{
    m_limit.recordSent(now);
}

bool TargetAdmission::isIdle(SteadyTime now) const
{
    return !m_limit.requestsPerSecond() && now >= m_restUntil && !isLeaving(now);
}

} // namespace Heatherridge
