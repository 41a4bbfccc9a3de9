#pragma once

#include "heatherridge_state/decisions/targetadmission.h"
#include "heatherridge_state/decisions/warmupshare.h"
#include "heatherridge_state/routing/routingconfig.h"

#include <map>

namespace Heatherridge
{

/** Requests beyond the warm-up rate of its service that a target bears while it warms up. */
struct WarmUpTolerance
{
    double factor = 1; ///< of the rate; 1 or more
    double slack = 0; ///< requests a second beyond that
};

/** How long the targets of each service warm up, and how many requests this gateway may send them meanwhile. */
class ServiceWarmUps
{
public:
    explicit ServiceWarmUps(WarmUpTolerance tolerance);

    /** Sets the warm-up of each service. */
    void setServices(const RoutingConfig &config);

    /** Sets the partitions of the log by which the warm-up rates of targets are divided among the gateways. */
    void setOwnedPartitions(const OwnedPartitions &owned, SteadyTime now);

    /** Returns how long targets of @p service are slow after their start. */
    std::chrono::milliseconds duration(const ServiceName &service) const;

    /** Returns this gateway's share of what the target @p id with @p admission accepts; @p limitShare of its limits. */
    AdmissionShare admissionShare(const TargetName &id, const ServiceName &service, const TargetAdmission &admission,
                                  double limitShare, SteadyTime now) const;

private:
    struct WarmUp
    {
        std::chrono::milliseconds duration{0};
        WarmUpRate rate{}; ///< 0: not limited
    };

    WarmUpTolerance m_tolerance;
    std::map<ServiceName, WarmUp> m_warmUps;
    WarmUpShare m_share;
};

} // namespace Heatherridge
