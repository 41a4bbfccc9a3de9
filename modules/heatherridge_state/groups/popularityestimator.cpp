#include "heatherridge_state/groups/popularityestimator.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

/** For this many windows the averages are arithmetic means, so that the arbitrary initial value has no lasting effect.
 */
constexpr std::uint64_t WarmUpWindows = 25;
/** Weight of a new window in the comparison of the averages: a change of the drift rate shows within some minutes. */
constexpr double ComparisonSmoothingFactor = 0.04;

/** Returns the variance of an average with @p smoothingFactor relative to that of one window. */
double averageVarianceFactor(double smoothingFactor)
{
    return smoothingFactor / (2 - smoothingFactor);
}

} // namespace

PopularityEstimator::PopularityEstimator(const GroupShape &shape)
    : m_shape(shape)
    , m_tracks(static_cast<std::size_t>(shape.layers) * shape.experts)
{
    for (auto &track : m_tracks) {
        track.averages.fill(1.0 / shape.experts);
    }
}

void PopularityEstimator::addReport(const RankReport &report, const ExpertMap &map)
{
    const bool fits = report.rank >= 0 && report.rank < m_shape.ranks() && report.map == map.number()
        && report.tokens.size() == map.expertCountOn(report.rank);
    if (!fits || report.window < m_firstOpenWindow) {
        ++m_droppedReports;
        return;
    }
    auto &window = m_openWindows[report.window];
    if (window.reported.empty()) {
        window.reported.resize(m_shape.slots.size());
        window.sums.resize(m_tracks.size());
    }
    if (window.reported[report.rank]) {
        ++m_droppedReports;
        return;
    }
    window.reported[report.rank] = true;
    std::size_t next = 0;
    for (std::size_t layer = 0; layer < map.layers().size(); ++layer) {
        for (const auto &slot : map.layers()[layer]) {
            if (slot.rank == report.rank) {
                auto &sum = window.sums[layer * m_shape.experts + slot.expert];
                sum.tokens += report.tokens[next++];
                sum.share += static_cast<double>(slot.share) / ExpertSlot::WholeShare;
            }
        }
    }
}

void PopularityEstimator::closeWindows(std::uint64_t newest)
{
    while (!m_openWindows.empty() && m_openWindows.begin()->first + OpenWindows < newest) {
        close(m_openWindows.begin()->second);
        m_firstOpenWindow = m_openWindows.begin()->first + 1;
        m_openWindows.erase(m_openWindows.begin());
    }
}

Popularity PopularityEstimator::popularity(int layer, int expert) const
{
    const auto &track = m_tracks[static_cast<std::size_t>(layer) * m_shape.experts + expert];
    return {.fraction = track.averages[m_activeAverage],
            .standardError = std::sqrt(track.variance * activeVarianceFactor())};
}

std::vector<double> PopularityEstimator::fractions(int layer) const
{
    std::vector<double> fractions(m_shape.experts);
    double total = 0;
    for (int expert = 0; expert < m_shape.experts; ++expert) {
        fractions[expert] = popularity(layer, expert).fraction;
        total += fractions[expert];
    }
    for (auto &fraction : fractions) {
        fraction = total > 0 ? fraction / total : 1.0 / m_shape.experts;
    }
    return fractions;
}

double PopularityEstimator::relativeError() const
{
    const auto ranks =
        static_cast<double>(std::count_if(m_shape.slots.begin(), m_shape.slots.end(), [](int n) { return n > 0; }));
    if (ranks == 0 || m_shape.layers == 0) {
        return 0;
    }
    if (m_closedWindows < 2) {
        return 1; // no estimate yet, so no change counts as a gain
    }
    double variance = 0;
    for (const auto &track : m_tracks) {
        variance += track.variance * activeVarianceFactor();
    }
    // A rank's load in a layer is 1/ranks of the layer's load; the layer's variance is spread over its ranks.
    return std::sqrt(variance / m_shape.layers / ranks) * ranks;
}

std::uint64_t PopularityEstimator::droppedReportCount() const
{
    return m_droppedReports;
}

std::uint64_t PopularityEstimator::jumpCount() const
{
    return m_jumpCount;
}

double PopularityEstimator::activeSmoothingFactor() const
{
    return SmoothingFactors[m_activeAverage];
}

void PopularityEstimator::close(const Window &window)
{
    ++m_closedWindows;
    std::array<double, SmoothingFactors.size()> errors{};
    for (int layer = 0; layer < m_shape.layers; ++layer) {
        closeLayer(window, layer, errors);
    }
    chooseAverage(errors);
}

void PopularityEstimator::closeLayer(const Window &window, int layer,
                                     std::array<double, SmoothingFactors.size()> &errors)
{
    const std::size_t base = static_cast<std::size_t>(layer) * m_shape.experts;
    double tokens = 0;
    double reportedFraction = 0; // previous total fraction of the experts with reports
    for (int expert = 0; expert < m_shape.experts; ++expert) {
        const auto &sum = window.sums[base + expert];
        if (sum.share >= MinReportedShare) {
            tokens += sum.tokens / sum.share;
            reportedFraction += m_tracks[base + expert].averages[m_activeAverage];
        }
    }
    if (tokens <= 0 || reportedFraction <= 0) {
        return;
    }
    for (int expert = 0; expert < m_shape.experts; ++expert) {
        const auto &sum = window.sums[base + expert];
        if (sum.share >= MinReportedShare) {
            update(m_tracks[base + expert], sum.tokens / sum.share / tokens * reportedFraction, errors);
        }
    }
}

void PopularityEstimator::update(ExpertTrack &track, double fraction,
                                 std::array<double, SmoothingFactors.size()> &errors)
{
    const double deviation = fraction - track.averages[m_activeAverage];
    for (std::size_t i = 0; i < SmoothingFactors.size(); ++i) {
        const double error = fraction - track.averages[i];
        // Errors are relative to the expert's popularity, since otherwise the hottest experts alone would decide.
        errors[i] += error * error / std::max(track.averages[m_activeAverage], 1e-3 / m_shape.experts);
        const double smoothingFactor = isWarmedUp()
            ? SmoothingFactors[i]
            : std::max(SmoothingFactors[i], 1.0 / static_cast<double>(m_closedWindows));
        track.averages[i] += smoothingFactor * error;
    }
    const double divergence = std::abs(track.averages.front() - track.averages[m_activeAverage]);
    const double fastError = std::sqrt(track.variance * averageVarianceFactor(SmoothingFactors.front()));
    if (isWarmedUp() && fastError > 0 && divergence > JumpStandardErrors * fastError) {
        track.averages.fill(track.averages.front());
        ++m_jumpCount;
        return;
    }
    // The cap keeps a single outlier from inflating the variance so much that a following jump is missed.
    const double cap = isWarmedUp() ? JumpStandardErrors * JumpStandardErrors * track.variance : deviation * deviation;
    const double smoothingFactor =
        isWarmedUp() ? ComparisonSmoothingFactor : 1.0 / static_cast<double>(m_closedWindows);
    track.variance += smoothingFactor * (std::min(deviation * deviation, cap) - track.variance);
}

void PopularityEstimator::chooseAverage(const std::array<double, SmoothingFactors.size()> &errors)
{
    if (!isWarmedUp()) {
        return; // until then all averages are nearly equal
    }
    for (std::size_t i = 0; i < SmoothingFactors.size(); ++i) {
        const double smoothingFactor = m_closedWindows == WarmUpWindows + 1 ? 1 : ComparisonSmoothingFactor;
        m_squaredErrors[i] += smoothingFactor * (errors[i] - m_squaredErrors[i]);
    }
    for (std::size_t i = 0; i < SmoothingFactors.size(); ++i) {
        if (m_squaredErrors[i] < m_squaredErrors[m_activeAverage] * (1 - SwitchMargin)) {
            m_activeAverage = i;
        }
    }
}

double PopularityEstimator::activeVarianceFactor() const
{
    return isWarmedUp() ? averageVarianceFactor(activeSmoothingFactor())
                        : 1.0 / static_cast<double>(std::max<std::uint64_t>(1, m_closedWindows));
}

bool PopularityEstimator::isWarmedUp() const
{
    return m_closedWindows > WarmUpWindows;
}

} // namespace Heatherridge
