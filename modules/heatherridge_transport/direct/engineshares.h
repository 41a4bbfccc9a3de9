#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/otherstreams.h"
#include "heatherridge_state/demand/fleetdemand.h"
#include "heatherridge_transport/app/metrics.h"

#include <functional>
#include <map>
#include <optional>

namespace Heatherridge
{

/** The engines of one service as reported to this gateway. */
struct EngineReports
{
    std::size_t engines = 0; ///< registered
    std::size_t reporting = 0; ///< of these, engines whose status is known
    double otherRequests = 0; ///< estimated requests of the other gateways at these
    SteadyTime::duration totalAge{}; ///< of these statuses together
};

/**
 * This gateway's share of the engines' capacity, and what the other gateways state of their streams, by service.
 *
 * The share is the even one unless the demand of all gateways is known and the configuration calls for shares by
 * demand. Used on the traffic thread only.
 */
class EngineShares
{
public:
    struct Options
    {
        std::function<ServiceDemand(const ServiceName &, SteadyTime)> ownDemand{}; ///< none: the share is always even
        Metrics *metrics = nullptr; ///< none: no gauge is kept
    };

    explicit EngineShares(Options options);

    /**
     * Sets the share that treats all gateways alike.
     * @param knownGateways that the log divides the work among, without this one
     */
    void setEvenShare(double share, int knownGateways);

    /** Replaces the demand at all other gateways. */
    void setFleetDemand(FleetDemand demand, SteadyTime now);

    /** Returns whether the streams of the other gateways are known from their statements. */
    bool isDemandShared() const;

    /** Returns this gateway's share of the capacity of the engines of @p service, above 0 and up to 1. */
    double share(const ServiceName &service, SteadyTime now);

    /** Returns how the statements of the other gateways correct the @p reports of the engines of @p service. */
    OtherStreams others(const ServiceName &service, const EngineReports &reports, SteadyTime now);

private:
    struct ServiceShare
    {
        double share = 0;
        double reportedShare = 0; ///< last one that was logged
        std::optional<SteadyTime> calculatedAt{};
        std::optional<SteadyTime> firstStatusAt{}; ///< when statements were first compared with statuses
        Gauge *gauge = nullptr;
    };

    /** Assumes four gateways until the number is known. */
    static constexpr double DefaultEvenShare = 0.25;

    /**
     * Returns the share if all gateways have equal ones. A gateway that has just joined the division of work has no
     * part yet; where demand is shared, the statements tell the number of gateways until it has one.
     */
    double evenShare() const;
    double calculate(const ServiceName &service, ServiceShare &state, SteadyTime now);
    void report(const ServiceName &service, ServiceShare &state, double own, double others);
    const ServiceDemand &statedDemand(const ServiceName &service) const;

    Options m_options;
    double m_evenShare = DefaultEvenShare;
    int m_knownGateways = 0;
    FleetDemand m_fleet;
    SteadyTime m_receivedAt{}; ///< when m_fleet was received
    std::map<ServiceName, ServiceShare> m_services;
};

} // namespace Heatherridge
