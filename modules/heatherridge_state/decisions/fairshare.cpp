#include "heatherridge_state/decisions/fairshare.h"

#include "heatherridge_state/demand/decayingrate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Heatherridge
{

namespace
{

/**
 * Returns the level up to which the demand of each workspace can be admitted, or nothing if all demand can be.
 *
 * Demand of workspaces that are not named counts as that of workspaces as busy as the least busy named one.
 */
std::optional<double> levelOf(const ServiceDemand &demand, double admittedPerSecond)
{
    double total = 0;
    double waiting = 0;
    for (const auto &[priority, rank] : demand.ranks) {
        total += rank.arrivalsPerSecond;
        waiting += rank.waiting;
    }
    std::vector<double> rates;
    double named = 0;
    for (const auto &workspace : demand.workspaces) {
        if (workspace.arrivalsPerSecond > 0) {
            rates.push_back(workspace.arrivalsPerSecond);
            named += workspace.arrivalsPerSecond;
        }
    }
    total = std::max(total, named);
    const double minWaiting = admittedPerSecond * std::chrono::duration<double>(FairShare::MinBacklog).count();
    const bool isShort = waiting > minWaiting && total * (1 - FairShare::ShortageTolerance) > admittedPerSecond;
    if (rates.size() < 2 || !isShort) {
        return std::nullopt;
    }
    std::sort(rates.begin(), rates.end());
    const double unnamed = (total - named) / rates.front();
    double remaining = admittedPerSecond;
    double workspaces = static_cast<double>(rates.size()) + unnamed;
    if (rates.front() > remaining / workspaces) {
        return remaining / workspaces;
    }
    remaining -= total - named;
    workspaces -= unnamed;
    for (const double rate : rates) {
        if (rate > remaining / workspaces) {
            return remaining / workspaces;
        }
        remaining -= rate;
        --workspaces;
    }
    return std::nullopt;
}

/** Returns the standard deviation of a measured rate, if events of that rate are independent. */
double noiseOf(double perSecond)
{
    return std::sqrt(perSecond / (2 * DecayingRate::TimeConstant.count()));
}

} // namespace

void FairShare::update(const ServiceDemand &fleet, double admittedPerSecond, SteadyTime now)
{
    tick(now);
    m_updatedAt = now;
    m_updatedSince = m_updatedSince.value_or(now);
    m_level = now - *m_updatedSince >= MeasuringTime ? levelOf(fleet, admittedPerSecond) : std::nullopt;
    std::map<WorkspaceName, double> returning; // with their demand
    for (const auto &[workspace, lastAbove] : m_overShare) {
        returning.emplace(workspace, 0);
    }
    for (const auto &workspace : fleet.workspaces) {
        const double rate = workspace.arrivalsPerSecond;
        const auto known = m_overShare.find(workspace.workspace);
        const bool isAbove = m_level && rate - NoiseMargin * noiseOf(rate) > *m_level;
        if (known != m_overShare.end()) {
            known->second = isAbove ? now : known->second;
            returning[workspace.workspace] = rate;
        } else if (isAbove) {
            m_overShare.emplace(workspace.workspace, now);
            m_changes.push_back(
                {.workspace = workspace.workspace, .isOver = true, .arrivalsPerSecond = rate, .level = m_level});
        }
    }
    for (const auto &[workspace, rate] : returning) {
        if (now - m_overShare.at(workspace) >= ReturnDelay) {
            setWithin(workspace, rate);
        }
    }
}

bool FairShare::isOverShare(const WorkspaceName &workspace) const
{
    return m_overShare.contains(workspace);
}

std::size_t FairShare::overShareCount() const
{
    return m_overShare.size();
}

void FairShare::tick(SteadyTime now)
{
    if (now - m_updatedAt < Lifetime) {
        return;
    }
    m_updatedSince.reset();
    m_level.reset();
    while (!m_overShare.empty()) {
        setWithin(WorkspaceName(m_overShare.begin()->first), 0);
    }
}

std::vector<FairShare::Change> FairShare::takeChanges()
{
    return std::exchange(m_changes, {});
}

void FairShare::setWithin(const WorkspaceName &workspace, double arrivalsPerSecond)
{
    m_changes.push_back(
        {.workspace = workspace, .isOver = false, .arrivalsPerSecond = arrivalsPerSecond, .level = m_level});
    m_overShare.erase(workspace);
}

} // namespace Heatherridge
