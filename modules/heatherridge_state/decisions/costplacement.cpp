#include "heatherridge_state/decisions/costplacement.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

/** Below this warmth a target would be shut out altogether. */
constexpr double LeastWarmth = 0.05;
/** Part of the prompt that its home is assumed to hold when nothing is known: a beginning shared with others. */
constexpr double HomeShare = 0.25;

/** Which of @p targets the prompt's beginning hashes to (rendezvous hashing): others keep theirs when one leaves. */
std::optional<std::size_t> homeOf(std::span<const TargetView> targets, std::uint64_t affinityKey)
{
    std::optional<std::size_t> home;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        // A multiplication in place of a full hash: this runs over all targets for each request.
        const std::uint64_t place = (targets[index].key ^ affinityKey) * 0x9E3779B97F4A7C15ULL;
        const std::uint64_t mixed = place ^ (place >> 32U);
        if (targets[index].usable && (!home || mixed > highest)) {
            home = index;
            highest = mixed;
        }
    }
    return home;
}

} // namespace

CostPlacement::CostPlacement(CostPlacementOptions options)
    : m_options(options)
{
}

std::optional<std::size_t> CostPlacement::choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                                 RandomSource &random) const
{
    const Means means = meansOf(targets);
    if (means.usable == 0) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    double lowest = 0;
    const auto consider = [&](std::size_t index, bool isHome) {
        if (!targets[index].usable) {
            return;
        }
        const double score = scoreOf(targets[index], traits, means, isHome);
        if (!best || score < lowest) {
            best = index;
            lowest = score;
        }
    };
    if (m_options.usePrefix) {
        for (std::size_t index = 0; index < targets.size(); ++index) {
            if (targets[index].prefixTokens > 0) {
                consider(index, false);
            }
        }
        const auto home = best || traits.affinityKey == 0 ? std::nullopt : homeOf(targets, traits.affinityKey);
        if (home) {
            consider(*home, true);
        }
    }
    const std::size_t samples = std::max<std::size_t>(m_options.samples, 1);
    if (samples >= means.usable) {
        for (std::size_t index = 0; index < targets.size(); ++index) {
            consider(index, false);
        }
        return best;
    }
    for (std::size_t drawn = 0; drawn < samples || !best; ++drawn) {
        consider(random.below(targets.size()), false);
    }
    return best;
}

CostPlacement::Means CostPlacement::meansOf(std::span<const TargetView> targets) const
{
    Means means;
    double own = 0;
    for (const auto &target : targets) {
        if (target.usable) {
            ++means.usable;
            own += target.ownLoad;
            means.capacity += target.reportedCapacity;
            means.others += std::max(0.0, target.reportedLoad - target.ownAtReport);
        }
    }
    const double count = std::max<double>(1, static_cast<double>(means.usable));
    means.others = m_options.useReports ? means.others / count : 0;
    means.load = own / count + means.others;
    means.capacity /= count;
    return means;
}

double CostPlacement::loadOf(const TargetView &target, const Means &means) const
{
    if (!m_options.useReports) {
        return target.ownLoad;
    }
    const std::chrono::duration<double> age = target.reportAge;
    const double trust = std::exp2(-(age / ReportHalfLife));
    const double others = std::max(0.0, target.reportedLoad - target.ownAtReport);
    const double load = target.ownLoad + trust * others + (1 - trust) * means.others;
    const double full = target.reportedCapacity;
    return full > 0 && load > full ? std::max(full, means.capacity) + (load - full) * ExcessShare : load;
}

double CostPlacement::scoreOf(const TargetView &target, const RequestTraits &traits, const Means &means,
                              bool isHome) const
{
    const double load = loadOf(target, means);
    double saved = 0;
    if (m_options.usePrefix && load <= PrefixBound * means.load + traits.cost) {
        saved = std::min<double>(target.prefixTokens, traits.promptTokens);
        saved = isHome ? std::max(saved, traits.promptTokens * HomeShare) : saved;
    }
    const double refused = PressurePrice * means.capacity * std::log(std::max(1.0, target.reportedPressure));
    const double work = refused + load / std::max(target.warmth, LeastWarmth) + traits.cost
        + (target.pendingPromptTokens - saved) * PrefixTokenValue;
    const double delay = 2 * m_options.zonePrice * static_cast<double>(target.zoneDelay.count());
    return work * target.slowness * traits.timePerUnit.count() + delay;
}

} // namespace Heatherridge
