#include "heatherridge_transport/direct/servicewarmups.h"

#include <algorithm>

namespace Heatherridge
{

ServiceWarmUps::ServiceWarmUps(WarmUpTolerance tolerance)
    : m_tolerance(tolerance)
{
}

void ServiceWarmUps::setServices(const RoutingConfig &config)
{
    m_warmUps.clear();
    for (const auto &service : config.services) {
        const double rate = service.warmUpRequestsPerSecond;
        const double tolerated = rate * m_tolerance.factor + m_tolerance.slack;
        m_warmUps[service.name] = {.duration = service.warmUpTime,
                                   .rate = {.perSecond = rate, .reserve = std::max(0.0, tolerated - rate)}};
    }
}

void ServiceWarmUps::setOwnedPartitions(const OwnedPartitions &owned, SteadyTime now)
{
    m_share.setPartitions(owned, now);
}

std::chrono::milliseconds ServiceWarmUps::duration(const ServiceName &service) const
{
    const auto found = m_warmUps.find(service);
    return found == m_warmUps.end() ? std::chrono::milliseconds(0) : found->second.duration;
}

AdmissionShare ServiceWarmUps::admissionShare(const TargetName &id, const ServiceName &service,
                                              const TargetAdmission &admission, double limitShare, SteadyTime now) const
{
    AdmissionShare share{.rateLimit = limitShare};
    const auto found = m_warmUps.find(service);
    if (found != m_warmUps.end() && found->second.rate.perSecond > 0 && admission.isWarmingUp(now)) {
        share.warmUpRequests = m_share.maxRequests(id, found->second.rate, now);
    }
    return share;
}

} // namespace Heatherridge
