#pragma once

#include "heatherridge_coordination/groups/groupassignment.h"
#include "heatherridge_state/decisions/dutyeligibility.h"
#include "heatherridge_state/demand/fleetdemand.h"

#include <string_view>

namespace Heatherridge
{

/**
 * The duties of a gateway: which groups it rebalances, by the log's divisions of work among all gateways and among
 * large ones. Joins the latter only while duties are divided by size, @see DutyEligibility. Used on the control thread
 * only.
 */
class GatewayDuties
{
public:
    struct Options
    {
        ZoneName zone{};
        double ownSize = 0; ///< cores; 0 if unknown
        bool exchangesDemand = false;
        WorkShare::Options largeShare{}; ///< of the division among large gateways
    };

    /** @p all is the division among all gateways. It and @p largeLog must outlive this object. */
    GatewayDuties(const WorkShare &all, ShareLog &largeLog, Options options);

    /** Sets the demand at all other gateways, with their sizes. */
    void setFleetDemand(const FleetDemand &demand);

    /** Performs the work that is due. */
    void tick(SteadyTime now);

    /** Returns whether this gateway rebalances @p group of @p service. */
    bool isAssigned(const ServiceName &service, const GroupToAssign &group) const;

    /** Returns whether the log has confirmed the assignment within its lease. */
    bool isConfirmed(SteadyTime now) const;

    /** Called after the log was restored from an older copy. */
    void logRestored();

    /** Gives up all duties by the division among large gateways. */
    void leave();

private:
    void updateMembership(const Duties &duties);
    bool usesLargeDivision() const;

    const WorkShare &m_all;
    Options m_options;
    WorkShare m_large;
    DutyEligibility m_eligibility;
    DutyInput m_input;
    Duties m_duties;
    std::string_view m_division; ///< that duties were last logged to come from
    bool m_hasJoined = false; ///< the division among large gateways
    bool m_hasAssignment = false; ///< from that division, since it was joined
    bool m_isStopping = false;
};

} // namespace Heatherridge
