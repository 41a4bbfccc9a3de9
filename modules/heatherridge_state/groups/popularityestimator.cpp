#include "heatherridge_state/groups/popularityestimator.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

/** Until this many windows the averages are plain means: the start value is a guess and must not linger. */
constexpr std::uint64_t WarmUpWindows = 25;
/** Part of a new window in the comparison of memories: a change of regime shows within some minutes. */
constexpr double ComparisonGain = 0.04;

/** Variance of an average with @p gain relative to that of one window. */
double varianceLeft(double gain)
{
    return gain / (2 - gain);
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

void PopularityEstimator::add(const RankReport &report, const ExpertMap &map)
{
    const bool fits = report.rank >= 0 && report.rank < m_shape.ranks() && report.map == map.number()
        && report.tokens.size() == map.expertsOn(report.rank);
    if (!fits || report.window < m_closedBefore) {
        ++m_dropped;
        return;
    }
    auto &window = m_open[report.window];
    if (window.seen.empty()) {
        window.seen.resize(m_shape.slots.size());
        window.sums.resize(m_tracks.size());
    }
    if (window.seen[report.rank]) {
        ++m_dropped;
        return;
    }
    window.seen[report.rank] = true;
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
    while (!m_open.empty() && m_open.begin()->first + OpenWindows < newest) {
        close(m_open.begin()->second);
        m_closedBefore = m_open.begin()->first + 1;
        m_open.erase(m_open.begin());
    }
}

Popularity PopularityEstimator::popularity(int layer, int expert) const
{
    const auto &track = m_tracks[static_cast<std::size_t>(layer) * m_shape.experts + expert];
    return {.part = track.averages[m_inUse], .error = std::sqrt(track.variance * varianceInUse())};
}

std::vector<double> PopularityEstimator::parts(int layer) const
{
    std::vector<double> parts(m_shape.experts);
    double total = 0;
    for (int expert = 0; expert < m_shape.experts; ++expert) {
        parts[expert] = popularity(layer, expert).part;
        total += parts[expert];
    }
    for (auto &part : parts) {
        part = total > 0 ? part / total : 1.0 / m_shape.experts;
    }
    return parts;
}

double PopularityEstimator::relativeError() const
{
    const auto ranks =
        static_cast<double>(std::count_if(m_shape.slots.begin(), m_shape.slots.end(), [](int n) { return n > 0; }));
    if (ranks == 0 || m_shape.layers == 0) {
        return 0;
    }
    if (m_closedCount < 2) {
        return 1; // nothing is known yet, so nothing is a gain
    }
    double variance = 0;
    for (const auto &track : m_tracks) {
        variance += track.variance * varianceInUse();
    }
    // A rank's load in a layer is 1/ranks of the layer; the layer's variance is spread over its ranks.
    return std::sqrt(variance / m_shape.layers / ranks) * ranks;
}

std::uint64_t PopularityEstimator::droppedReports() const
{
    return m_dropped;
}

std::uint64_t PopularityEstimator::jumps() const
{
    return m_jumps;
}

double PopularityEstimator::gainInUse() const
{
    return Gains[m_inUse];
}

void PopularityEstimator::close(const Window &window)
{
    ++m_closedCount;
    std::array<double, Gains.size()> errors{};
    for (int layer = 0; layer < m_shape.layers; ++layer) {
        closeLayer(window, layer, errors);
    }
    chooseMemory(errors);
}

void PopularityEstimator::closeLayer(const Window &window, int layer, std::array<double, Gains.size()> &errors)
{
    const std::size_t base = static_cast<std::size_t>(layer) * m_shape.experts;
    double tokens = 0;
    double known = 0; // what the experts with reports made up until now
    for (int expert = 0; expert < m_shape.experts; ++expert) {
        const auto &sum = window.sums[base + expert];
        if (sum.share >= LeastShareSeen) {
            tokens += sum.tokens / sum.share;
            known += m_tracks[base + expert].averages[m_inUse];
        }
    }
    if (tokens <= 0 || known <= 0) {
        return;
    }
    for (int expert = 0; expert < m_shape.experts; ++expert) {
        const auto &sum = window.sums[base + expert];
        if (sum.share >= LeastShareSeen) {
            update(m_tracks[base + expert], sum.tokens / sum.share / tokens * known, errors);
        }
    }
}

void PopularityEstimator::update(Track &track, double part, std::array<double, Gains.size()> &errors)
{
    const double innovation = part - track.averages[m_inUse];
    for (std::size_t i = 0; i < Gains.size(); ++i) {
        const double error = part - track.averages[i];
        // Errors count relative to the expert's popularity, or the hottest experts alone would choose the memory.
        errors[i] += error * error / std::max(track.averages[m_inUse], 1e-3 / m_shape.experts);
        const double gain = warm() ? Gains[i] : std::max(Gains[i], 1.0 / static_cast<double>(m_closedCount));
        track.averages[i] += gain * error;
    }
    const double apart = std::abs(track.averages.front() - track.averages[m_inUse]);
    const double fastError = std::sqrt(track.variance * varianceLeft(Gains.front()));
    if (warm() && fastError > 0 && apart > JumpErrors * fastError) {
        track.averages.fill(track.averages.front());
        ++m_jumps;
        return;
    }
    // A single far value must not inflate the variance so much that the jump behind it goes unseen.
    const double most = warm() ? JumpErrors * JumpErrors * track.variance : innovation * innovation;
    const double gain = warm() ? ComparisonGain : 1.0 / static_cast<double>(m_closedCount);
    track.variance += gain * (std::min(innovation * innovation, most) - track.variance);
}

void PopularityEstimator::chooseMemory(const std::array<double, Gains.size()> &errors)
{
    if (!warm()) {
        return; // until then all memories are nearly the same
    }
    for (std::size_t i = 0; i < Gains.size(); ++i) {
        const double gain = m_closedCount == WarmUpWindows + 1 ? 1 : ComparisonGain;
        m_squaredErrors[i] += gain * (errors[i] - m_squaredErrors[i]);
    }
    for (std::size_t i = 0; i < Gains.size(); ++i) {
        if (m_squaredErrors[i] < m_squaredErrors[m_inUse] * (1 - BetterBy)) {
            m_inUse = i;
        }
    }
}

double PopularityEstimator::varianceInUse() const
{
    return warm() ? varianceLeft(gainInUse()) : 1.0 / static_cast<double>(std::max<std::uint64_t>(1, m_closedCount));
}

bool PopularityEstimator::warm() const
{
    return m_closedCount > WarmUpWindows;
}

} // namespace Heatherridge
