#include "heatherridge_state/groups/expertdemand.h"

#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

double totalVariationDistance(const SetDemand &a, const SetDemand &b)
{
    double sum = 0;
    for (std::size_t expert = 0; expert < a.size(); ++expert) {
        sum += std::abs(a[expert] - b[expert]);
    }
    return sum / 2;
}

} // namespace

ExpertDemand::ExpertDemand(int sets, int experts)
    : m_experts(experts)
    , m_sets(sets)
{
}

void ExpertDemand::addWindow(const std::vector<double> &selectionCounts)
{
    if (selectionCounts.size() != static_cast<std::size_t>(m_sets) * static_cast<std::size_t>(m_experts)) {
        return;
    }
    std::vector<SetDemand> window;
    for (int set = 0; set < m_sets; ++set) {
        const auto begin = selectionCounts.begin() + static_cast<std::ptrdiff_t>(set) * m_experts;
        SetDemand fractions(begin, begin + m_experts);
        const double sum = std::accumulate(fractions.begin(), fractions.end(), 0.0);
        if (sum <= 0) {
            return;
        }
        for (auto &fraction : fractions) {
            fraction /= sum;
        }
        window.push_back(std::move(fractions));
    }
    if (m_average.empty()) {
        m_average = std::move(window);
        return;
    }
    m_lastDistance = 0;
    for (int set = 0; set < m_sets; ++set) {
        m_lastDistance +=
            totalVariationDistance(window[static_cast<std::size_t>(set)], m_average[static_cast<std::size_t>(set)]);
    }
    m_lastDistance /= m_sets;
    m_jumped = m_lastDistance > JumpDistance;
    if (m_jumped) {
        m_average = std::move(window);
        return;
    }
    for (std::size_t set = 0; set < m_average.size(); ++set) {
        for (std::size_t expert = 0; expert < m_average[set].size(); ++expert) {
            m_average[set][expert] += SmoothingFactor * (window[set][expert] - m_average[set][expert]);
        }
    }
}

const std::vector<SetDemand> &ExpertDemand::bySet() const
{
    return m_average;
}

double ExpertDemand::lastDistance() const
{
    return m_lastDistance;
}

bool ExpertDemand::jumped() const
{
    return m_jumped;
}

} // namespace Heatherridge
