#pragma once

#include "heatherridge_state/decisions/fairshare.h"
#include "heatherridge_state/demand/decayingrate.h"
#include "heatherridge_state/demand/fleetdemand.h"
#include "heatherridge_transport/app/metrics.h"

#include <chrono>
#include <map>

namespace Heatherridge
{

/**
 * The fair shares of workspaces in the engines of each service, with their log lines and metric.
 *
 * Measures the rate at which this gateway sends streams and estimates that of all gateways from it. Used on the traffic
 * thread only.
 */
class WorkspaceShares
{
public:
    /** Time between two updates of the shares of one service: a tenth of the time constant of the rates. */
    static constexpr std::chrono::milliseconds UpdatePeriod{100};

    /** Demand for one service, as known to this gateway. */
    struct Demand
    {
        const ServiceDemand &own;
        const ServiceDemand *others = nullptr; ///< of all other gateways; null if it is unknown
        std::chrono::milliseconds age{0}; ///< of the demand of others, for the log
        double capacityShare = 0; ///< of this gateway in the capacity of the engines; 0 if it is unknown
    };

    /** @p metrics must outlive this object. */
    explicit WorkspaceShares(Metrics &metrics);

    /** Records that a stream is sent to an engine of @p service that no engine has started before. */
    void recordSent(const ServiceName &service, SteadyTime now);

    /** Returns whether the last update of @p service is at least UpdatePeriod old. */
    bool isUpdateDue(const ServiceName &service, SteadyTime now) const;

    /** Updates the shares for @p service. */
    void update(const ServiceName &service, const Demand &demand, SteadyTime now);

    bool isOverShare(const ServiceName &service, const WorkspaceName &workspace) const;

    /** Ends shares that are not updated any more. Called about once a second. */
    void tick(SteadyTime now);

private:
    struct Service
    {
        DecayingRate sent{};
        FairShare share{};
        SteadyTime updatedAt{};
    };

    static double fleetRate(double sentPerSecond, const Demand &demand, const ServiceDemand &fleet);
    void reportChanges(const ServiceName &service, FairShare &share, std::chrono::milliseconds age);

    Gauge &m_overShare;
    std::map<ServiceName, Service> m_services;
};

} // namespace Heatherridge
