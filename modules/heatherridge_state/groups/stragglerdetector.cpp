#include "heatherridge_state/groups/stragglerdetector.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** Below this many tokens in a window, time a token says little. */
constexpr double LeastTokens = 100;

double microsecondsPerToken(const RankReport &report)
{
    const double tokens = std::accumulate(report.tokens.begin(), report.tokens.end(), 0.0);
    return tokens < LeastTokens ? 0 : static_cast<double>(report.busy.count()) / tokens;
}

} // namespace

StragglerDetector::StragglerDetector(int ranks)
    : m_tracks(static_cast<std::size_t>(ranks))
{
}

void StragglerDetector::addWindow(const std::vector<RankReport> &reports)
{
    std::vector<double> costs;
    for (const auto &report : reports) {
        if (const double cost = microsecondsPerToken(report); cost > 0) {
            costs.push_back(cost);
        }
    }
    if (costs.empty()) {
        return;
    }
    const auto middle = costs.begin() + static_cast<std::ptrdiff_t>(costs.size() / 2);
    std::nth_element(costs.begin(), middle, costs.end());
    const double median = *middle;
    for (const auto &report : reports) {
        const double cost = microsecondsPerToken(report);
        if (cost <= 0 || report.rank < 0 || report.rank >= static_cast<int>(m_tracks.size())) {
            continue;
        }
        auto &track = m_tracks[report.rank];
        track.average += Gain * (cost / median - track.average);
        track.above = track.average > EnterSlowness ? track.above + 1 : 0;
        if (track.straggler) {
            track.straggler = track.average >= LeaveSlowness;
        } else {
            track.straggler = track.above >= WindowsToEnter;
        }
    }
}

double StragglerDetector::slowness(int rank) const
{
    const auto &track = m_tracks[rank];
    return track.straggler ? std::max(1.0, std::round(track.average / Step) * Step) : 1.0;
}

bool StragglerDetector::isStraggler(int rank) const
{
    return m_tracks[rank].straggler;
}

} // namespace Heatherridge
