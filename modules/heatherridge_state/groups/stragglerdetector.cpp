#include "heatherridge_state/groups/stragglerdetector.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Heatherridge
{

namespace
{

/** Minimum tokens in a window for a meaningful time per token. */
constexpr double MinTokens = 100;

double microsecondsPerToken(const RankReport &report)
{
    const double tokens = std::accumulate(report.tokens.begin(), report.tokens.end(), 0.0);
    return tokens < MinTokens ? 0 : static_cast<double>(report.busyTime.count()) / tokens;
}

} // namespace

StragglerDetector::StragglerDetector(int ranks)
    : m_tracks(static_cast<std::size_t>(ranks))
{
}

void StragglerDetector::addWindow(const std::vector<RankReport> &reports)
{
    std::vector<double> tokenCosts;
    for (const auto &report : reports) {
        if (const double cost = microsecondsPerToken(report); cost > 0) {
            tokenCosts.push_back(cost);
        }
    }
    if (tokenCosts.empty()) {
        return;
    }
    const auto middle = tokenCosts.begin() + static_cast<std::ptrdiff_t>(tokenCosts.size() / 2);
    std::nth_element(tokenCosts.begin(), middle, tokenCosts.end());
    const double median = *middle;
    for (const auto &report : reports) {
        const double cost = microsecondsPerToken(report);
        if (cost <= 0 || report.rank < 0 || report.rank >= static_cast<int>(m_tracks.size())) {
            continue;
        }
        auto &track = m_tracks[report.rank];
        track.average += SmoothingFactor * (cost / median - track.average);
        track.windowsAbove = track.average > EnterSlowness ? track.windowsAbove + 1 : 0;
        if (track.straggler) {
            track.straggler = track.average >= ExitSlowness;
        } else {
            track.straggler = track.windowsAbove >= WindowsToEnter;
        }
    }
}

double StragglerDetector::slowness(int rank) const
{
    const auto &track = m_tracks[rank];
    return track.straggler ? std::max(1.0, std::round(track.average / SlownessStep) * SlownessStep) : 1.0;
}

bool StragglerDetector::isStraggler(int rank) const
{
    return m_tracks[rank].straggler;
}

} // namespace Heatherridge
