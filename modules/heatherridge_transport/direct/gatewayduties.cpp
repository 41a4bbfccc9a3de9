#include "heatherridge_transport/direct/gatewayduties.h"

#include "heatherridge_transport/app/logger.h"

#include <string>
#include <utility>

namespace Heatherridge
{

namespace
{

constexpr std::string_view DivisionAmongAll = "all";
constexpr std::string_view DivisionAmongLarge = "large";
constexpr std::string_view NoDivision = "none";

std::string_view divisionOf(const Duties &duties)
{
    if (duties.byLarge) {
        return DivisionAmongLarge;
    }
    return duties.byAll ? DivisionAmongAll : NoDivision;
}

} // namespace

GatewayDuties::GatewayDuties(const WorkShare &all, ShareLog &largeLog, Options options)
    : m_all(all)
    , m_options(std::move(options))
    , m_large(largeLog, m_options.largeShare)
    , m_eligibility(m_options.exchangesDemand)
    , m_input{.ownSize = m_options.ownSize}
    , m_division(DivisionAmongAll)
{
}

void GatewayDuties::setFleetDemand(const FleetDemand &demand)
{
    m_input.isShared = demand.isShared;
    m_input.isKnown = demand.isKnown;
    m_input.largestOther = demand.largestProcessorShare;
}

void GatewayDuties::tick(SteadyTime now)
{
    if (m_isStopping) {
        return;
    }
    updateMembership(m_eligibility.update(m_input, now));
    if (m_hasJoined) {
        m_large.tick(now);
        m_hasAssignment = m_hasAssignment || m_large.fraction().has_value();
    }
}

void GatewayDuties::updateMembership(const Duties &duties)
{
    m_duties = duties;
    if (duties.byLarge && !m_hasJoined) {
        m_large.rejoin();
        m_hasAssignment = false;
    } else if (!duties.byLarge && m_hasJoined) {
        m_large.leave();
    }
    m_hasJoined = duties.byLarge;
    if (duties == Duties{}) {
        return; // waits for the first statements
    }
    const auto division = divisionOf(duties);
    if (std::exchange(m_division, division) != division) {
        logEvent(Severity::Info, division == NoDivision ? "duties-left" : "duties-held",
                 {{"division", std::string(division)},
                  {"own-cores", std::to_string(m_input.ownSize)},
                  {"largest-cores", std::to_string(m_input.largestOther)},
                  {"known", m_input.isKnown ? "yes" : "no"}});
    }
}

bool GatewayDuties::usesLargeDivision() const
{
    return m_duties.byLarge && m_hasAssignment;
}

bool GatewayDuties::isAssigned(const ServiceName &service, const GroupToAssign &group) const
{
    if (usesLargeDivision() && isAssignedTo(m_large, m_options.zone, service, group)) {
        return true;
    }
    // Until the log has answered, a member of the division among large gateways keeps its earlier duties.
    const bool usesAll =
        m_duties.byAll || (m_duties.byLarge && !m_hasAssignment) || (m_duties.byAllIfUnattended && group.isUnattended);
    return usesAll && isAssignedTo(m_all, m_options.zone, service, group);
}

bool GatewayDuties::isConfirmed(SteadyTime now) const
{
    return usesLargeDivision() ? m_large.isConfirmed(now) : m_all.isConfirmed(now);
}

void GatewayDuties::logRestored()
{
    m_large.logRestored();
}

void GatewayDuties::leave()
{
    m_isStopping = true;
    m_duties = {.byAll = true}; // which the caller leaves as well
    if (std::exchange(m_hasJoined, false)) {
        m_large.leave();
    }
}

} // namespace Heatherridge
