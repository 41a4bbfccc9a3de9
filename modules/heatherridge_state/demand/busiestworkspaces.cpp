#include "heatherridge_state/demand/busiestworkspaces.h"

#include "heatherridge_state/demand/decayingrate.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

/** Time constants between two changes of the reference time; e^20 keeps 9 significant digits of the weights. */
constexpr double MaxReferenceAge = 20;

/** Rates below this are dropped: one arrival is forgotten after 7 s. */
constexpr double MinPerSecond = 1e-3;

double timeConstantsBetween(SteadyTime from, SteadyTime to)
{
    return (to - from) / DecayingRate::TimeConstant;
}

} // namespace

void BusiestWorkspaces::recordArrival(const WorkspaceName &workspace, SteadyTime now)
{
    if (m_entries.empty() || timeConstantsBetween(m_reference, now) > MaxReferenceAge) {
        moveReference(now);
    }
    const double weight = std::exp(timeConstantsBetween(m_reference, now));
    const auto found = m_entries.find(workspace);
    if (found != m_entries.end()) {
        found->second.weight += weight;
        return;
    }
    const auto replaced = m_entries.size() < Capacity ? Entry{} : takeLightest();
    m_entries.emplace(workspace, Entry{.weight = replaced.weight + weight, .maxError = replaced.weight});
}

std::vector<BusiestWorkspaces::Rate> BusiestWorkspaces::busiest(std::size_t maxCount, SteadyTime now) const
{
    const double factor = std::exp(-timeConstantsBetween(m_reference, now)) / DecayingRate::TimeConstant.count();
    std::vector<Rate> rates;
    rates.reserve(m_entries.size());
    for (const auto &[workspace, entry] : m_entries) {
        const double perSecond = (entry.weight - entry.maxError) * factor;
        if (perSecond >= MinPerSecond) {
            rates.push_back({.workspace = workspace, .arrivalsPerSecond = perSecond});
        }
    }
    const auto isBusier = [](const Rate &a, const Rate &b) {
        return a.arrivalsPerSecond != b.arrivalsPerSecond ? a.arrivalsPerSecond > b.arrivalsPerSecond
                                                          : a.workspace < b.workspace;
    };
    const auto count = std::min(maxCount, rates.size());
    std::partial_sort(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(count), rates.end(), isBusier);
    rates.resize(count);
    return rates;
}

void BusiestWorkspaces::moveReference(SteadyTime now)
{
    const double factor = std::exp(-timeConstantsBetween(m_reference, now));
    const double minWeight = MinPerSecond * DecayingRate::TimeConstant.count();
    for (auto &[workspace, entry] : m_entries) {
        entry.weight *= factor;
        entry.maxError *= factor;
    }
    std::erase_if(m_entries, [minWeight](const auto &entry) { return entry.second.weight < minWeight; });
    m_reference = now;
}

BusiestWorkspaces::Entry BusiestWorkspaces::takeLightest()
{
    const auto lightest = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
        return a.second.weight < b.second.weight;
    });
    const auto entry = lightest->second;
    m_entries.erase(lightest);
    return entry;
}

} // namespace Heatherridge
