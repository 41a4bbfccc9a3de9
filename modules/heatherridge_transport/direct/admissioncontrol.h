#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/rankadmission.h"
#include "heatherridge_state/decisions/returnschedule.h"
#include "heatherridge_state/decisions/streamadmission.h"
#include "heatherridge_state/demand/demandmeter.h"
#include "heatherridge_state/demand/fleetdemand.h"
#include "heatherridge_state/routing/routetable.h"
#include "heatherridge_state/routing/routingconfig.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/direct/workspaceshares.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/**
 * Decides on the admission of streams by the demand of all gateways.
 *
 * Holds what the decisions of a gateway's traffic thread share: its own demand, the last known demand of the other
 * gateways, the RankAdmission of each service whose streaming routes have different priorities, and the fair shares of
 * workspaces. The streams of all other services are admitted without regard to ranks. Used on the traffic thread only.
 */
class AdmissionControl
{
public:
    /** Returns this gateway's share of the capacity of the engines of a service. */
    using CapacityShareSource = std::function<double(const ServiceName &service, SteadyTime now)>;

    /** @p metrics must outlive this object. Without @p capacityShare the share counts as unknown. */
    explicit AdmissionControl(Metrics &metrics, CapacityShareSource capacityShare = {});

    /** Puts rank admission in force for the services of @p config whose streaming routes differ in their priority. */
    void setConfig(const RoutingConfig &config);

    /** Records that a stream arrived at this gateway. */
    DemandMeter::Stream recordArrival(const DemandMeter::StreamClass &streamClass, SteadyTime now);

    /** Returns the demand of this gateway's streams by service. */
    std::vector<ServiceDemand> demand(SteadyTime now) const;

    /** Returns the demand of this gateway's streams for @p service. */
    ServiceDemand demandOf(const ServiceName &service, SteadyTime now) const;

    /** Replaces the demand at all other gateways. */
    void setFleetDemand(FleetDemand demand);

    /** Returns the last demand at all other gateways; check `isKnown` before using it. */
    const FleetDemand &fleetDemand() const;

    /** Sets the number of other gateways that exist; those that have stated no demand count as average ones. */
    void setKnownGateways(int gateways);

    /** Returns whether rank admission is in force for @p service. */
    bool admitsByRank(const ServiceName &service) const;

    /** Returns the rank of a stream of @p service in the queue: 0 unless rank admission is in force. */
    int queueRank(const ServiceName &service, int priority) const;

    /** Returns the priority that targets of @p service are told for a request of @p match; none unless it is a stream.
     */
    std::optional<int> enginePriority(const ServiceName &service, const RouteMatch &match) const;

    /** Returns whether a stream may be sent to the engines of @p service, which have @p capacity. */
    bool mayAdmit(const ServiceName &service, int priority, const RankAdmission::Capacity &capacity, SteadyTime now);

    /** Records that a stream of @p priority is sent that no engine has started before. */
    void recordSent(const ServiceName &service, int priority, SteadyTime now);

    /** Records that a stream of @p priority is refused because there is not enough capacity. */
    void recordRefused(const ServiceName &service, int priority);

    /** Returns whether @p workspace demands more than its fair share, if fair shares are in force for @p service. */
    bool isOverShare(const ServiceName &service, const WorkspaceName &workspace) const;

    /** A stream that is refused as overloaded. */
    struct RefusedStream
    {
        RequestId request{};
        ServiceName service{};
        RouteMatch match{};
        bool lacksCapacity = false; ///< refused because all engines are full, or because the queue is too long
        std::chrono::milliseconds remainingTime{0}; ///< of the caller
    };

    /**
     * Records that @p stream is refused with @p error. Returns the error with the retry delay to tell the caller: that
     * of the ReturnSchedule if rank admission is in force for the service and the stream lacks capacity, otherwise the
     * present one.
     */
    Error refuse(Error error, const RefusedStream &stream, SteadyTime now, RandomSource &random);

    /**
     * Returns how long a stream that begins to wait now is expected to wait. Nothing if rank admission is not in force
     * for @p service or no rate of admission is known yet.
     * @param partBehind part of the waiting streams of its rank that have their turn after it
     */
    std::optional<std::chrono::milliseconds> expectedWait(const ServiceName &service, int priority, SteadyTime now,
                                                          double partBehind = 0) const;

    /** Returns when @p stream has its turn. */
    QueueClass queueClass(const WaitingStream &stream, SteadyTime now) const;

    /**
     * Returns whether a stream that arrives waits behind those of @p queue, instead of looking for an engine at once.
     */
    bool waitsBehind(const StreamQueue &queue, const DemandMeter::StreamClass &stream, SteadyTime now) const;

    /** Ends what is not in force any more. Called about once a second. */
    void tick(SteadyTime now);

private:
    const ServiceDemand *othersDemand(const ServiceName &service) const;
    bool hasFairShares(const ServiceName &service) const;
    void updateShares(const ServiceName &service, SteadyTime now);
    void updateOthers();
    void reportChanges(const ServiceName &service, RankAdmission &admission);
    void reportReturn(const RefusedStream &stream, const ReturnSchedule::Return &result);
    Counter &rankCounter(const char *name, int priority);

    Metrics &m_metrics;
    DemandMeter m_meter;
    FleetDemand m_fleetDemand;
    int m_knownGateways = 0;
    /** At all other gateways, those included that have stated nothing. */
    std::map<ServiceName, ServiceDemand> m_others;
    std::map<ServiceName, RankAdmission> m_services; ///< for which rank admission is in force
    CapacityShareSource m_capacityShare;
    WorkspaceShares m_workspaceShares;
    std::map<ServiceName, ReturnSchedule> m_returnSchedules; ///< of these services
};

} // namespace Heatherridge
