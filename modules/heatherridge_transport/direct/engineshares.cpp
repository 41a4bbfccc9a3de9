#include "heatherridge_transport/direct/engineshares.h"

#include "heatherridge_state/decisions/capacityshare.h"
#include "heatherridge_transport/app/logger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/** How long a share is used before it is calculated again: half of the period in which waiting streams look for an
 * engine. */
constexpr milliseconds ShareLifetime{10};
/** A share is logged when it differs from the last logged one by more than this fraction. */
constexpr double LoggedChange = 0.25;

milliseconds inMilliseconds(SteadyTime::duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

double streamsInProgress(const ServiceDemand &demand)
{
    double sum = 0;
    for (const auto &[priority, rank] : demand.ranks) {
        sum += rank.inProgress;
    }
    return sum;
}

} // namespace

EngineShares::EngineShares(Options options)
    : m_options(std::move(options))
{
}

void EngineShares::setEvenShare(double share, int knownGateways)
{
    // A share of 0 means that this process has lost the log for a while; the last known share is then the better
    // estimate of the number of gateways.
    m_evenShare = share > 0 ? share : m_evenShare;
    m_knownGateways = knownGateways;
}

double EngineShares::evenShare() const
{
    if (!m_fleet.isShared || m_knownGateways > 0) {
        return m_evenShare;
    }
    return m_fleet.isKnown ? 1.0 / (m_fleet.gateways + 1) : DefaultEvenShare;
}

void EngineShares::setFleetDemand(FleetDemand demand, SteadyTime now)
{
    m_fleet = std::move(demand);
    m_receivedAt = now;
}

bool EngineShares::isDemandShared() const
{
    return m_options.ownDemand && m_fleet.isShared && m_fleet.isKnown;
}

double EngineShares::share(const ServiceName &service, SteadyTime now)
{
    auto &state = m_services[service];
    if (!isDemandShared()) {
        const bool wasShared = std::exchange(state.calculatedAt, std::nullopt).has_value();
        state.share = evenShare();
        if (wasShared) {
            report(service, state, 0, 0);
        }
    } else if (!state.calculatedAt || now - *state.calculatedAt >= ShareLifetime) {
        state.calculatedAt = now;
        state.share = calculate(service, state, now);
    }
    return state.share;
}

double EngineShares::calculate(const ServiceName &service, ServiceShare &state, SteadyTime now)
{
    const auto own = m_options.ownDemand(service, now);
    const auto &others = statedDemand(service);
    state.share = capacityShare({.own = own,
                                 .others = &others,
                                 .statedGateways = m_fleet.gateways,
                                 .knownGateways = m_knownGateways,
                                 .evenShare = evenShare()});
    report(service, state, capacityDemand(own), capacityDemand(others));
    return state.share;
}

void EngineShares::report(const ServiceName &service, ServiceShare &state, double own, double others)
{
    if (state.gauge == nullptr && m_options.metrics != nullptr) {
        state.gauge =
            &m_options.metrics->gauge("heatherridge_capacity_share_permille", "service=\"" + service.text() + "\"");
    }
    if (state.gauge != nullptr) {
        state.gauge->set(std::lround(state.share * 1000));
    }
    if (std::abs(state.share - state.reportedShare) <= state.reportedShare * LoggedChange) {
        return;
    }
    state.reportedShare = state.share;
    logEvent(Severity::Info, "capacity-share",
             {{"service", service.text()},
              {"share", std::to_string(state.share)},
              {"own", std::to_string(own)},
              {"others", std::to_string(others)},
              {"even", std::to_string(evenShare())},
              {"known", isDemandShared() ? "yes" : "no"},
              {"gateways", std::to_string(m_fleet.gateways)},
              {"age-ms", std::to_string(m_fleet.age.count())}});
}

OtherStreams EngineShares::others(const ServiceName &service, const EngineReports &reports, SteadyTime now)
{
    if (!isDemandShared()) {
        return {};
    }
    auto &state = m_services[service];
    if (reports.reporting > 0 && !state.firstStatusAt) {
        state.firstStatusAt = now;
    }
    double stated = streamsInProgress(statedDemand(service));
    if (const int unstated = unstatedGateways(m_fleet.gateways, m_knownGateways); unstated > 0) {
        const double all = stated + streamsInProgress(m_options.ownDemand(service, now));
        stated += all / (m_fleet.gateways + 1) * unstated;
    }
    const auto reporting = static_cast<SteadyTime::rep>(std::max<std::size_t>(reports.reporting, 1));
    return otherStreams({.stated = stated,
                         .statedAge = m_fleet.age + inMilliseconds(now - m_receivedAt),
                         .reported = reports.otherRequests,
                         .reportedAge = inMilliseconds(reports.totalAge / reporting),
                         .reportingEngines = reports.reporting,
                         .engines = reports.engines,
                         .isStarting = !state.firstStatusAt || now - *state.firstStatusAt < StatusStartDuration});
}

const ServiceDemand &EngineShares::statedDemand(const ServiceName &service) const
{
    static const ServiceDemand None;
    const auto found = std::find_if(m_fleet.services.begin(), m_fleet.services.end(),
                                    [&](const auto &demand) { return demand.service == service; });
    return found == m_fleet.services.end() ? None : *found;
}

} // namespace Heatherridge
