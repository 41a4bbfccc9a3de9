#include "heatherridge_state/decisions/costplacement.h"

#include <algorithm>
#include <cmath>

namespace Heatherridge
{

namespace
{

/** A target with less warmth would receive no requests at all. */
constexpr double MinWarmth = 0.05;
/**
 * Fraction of the prompt that the hashed target is assumed to have cached if nothing is known: a prefix shared with
 * other prompts.
 */
constexpr double HashedPrefixShare = 0.25;

/**
 * Returns the index in @p targets that the prompt prefix hashes to (rendezvous hashing), so that the other prompts keep
 * their targets when one leaves.
 */
std::optional<std::size_t> hashedTarget(std::span<const TargetView> targets, std::uint64_t affinityKey)
{
    std::optional<std::size_t> hashed;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        // A multiplication instead of a full hash, because this runs over all targets for each request.
        const std::uint64_t product = (targets[index].key ^ affinityKey) * 0x9E3779B97F4A7C15ULL;
        const std::uint64_t mixed = product ^ (product >> 32U);
        if (targets[index].usable && (!hashed || mixed > highest)) {
            hashed = index;
            highest = mixed;
        }
    }
    return hashed;
}

} // namespace

CostPlacement::CostPlacement(CostPlacementOptions options)
    : m_options(options)
{
}

std::optional<std::size_t> CostPlacement::choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                                 RandomSource &random) const
{
    const Means means = computeMeans(targets);
    if (means.usable == 0) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    double lowest = 0;
    const auto consider = [&](std::size_t index, bool isHashedTarget) {
        if (!targets[index].usable) {
            return;
        }
        const double score = computeScore(targets[index], traits, means, isHashedTarget);
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
        const auto hashed = best || traits.affinityKey == 0 ? std::nullopt : hashedTarget(targets, traits.affinityKey);
        if (hashed) {
            consider(*hashed, true);
        }
    }
    const std::size_t samples = std::max<std::size_t>(m_options.samples, 1);
    if (samples >= means.usable) {
        for (std::size_t index = 0; index < targets.size(); ++index) {
            consider(index, false);
        }
        return best;
    }
    for (std::size_t drawCount = 0; drawCount < samples || !best; ++drawCount) {
        consider(random.below(targets.size()), false);
    }
    return best;
}

CostPlacement::Means CostPlacement::computeMeans(std::span<const TargetView> targets) const
{
    Means means;
    double ownTotal = 0;
    for (const auto &target : targets) {
        if (target.usable) {
            ++means.usable;
            ownTotal += target.ownLoad;
            means.capacity += target.reportedCapacity;
            means.otherLoad += std::max(0.0, target.reportedLoad - target.ownAtReport);
        }
    }
    const double count = std::max<double>(1, static_cast<double>(means.usable));
    means.otherLoad = m_options.useReports ? means.otherLoad / count : 0;
    means.load = ownTotal / count + means.otherLoad;
    means.capacity /= count;
    return means;
}

double CostPlacement::estimatedLoad(const TargetView &target, const Means &means) const
{
    if (!m_options.useReports) {
        return target.ownLoad;
    }
    const std::chrono::duration<double> age = target.reportAge;
    const double reportWeight = std::exp2(-(age / ReportHalfLife));
    const double otherLoad = std::max(0.0, target.reportedLoad - target.ownAtReport);
    const double load = target.ownLoad + reportWeight * otherLoad + (1 - reportWeight) * means.otherLoad;
    const double fullLoad = target.reportedCapacity;
    return fullLoad > 0 && load > fullLoad ? std::max(fullLoad, means.capacity) + (load - fullLoad) * ExcessWeight
                                           : load;
}

double CostPlacement::computeScore(const TargetView &target, const RequestTraits &traits, const Means &means,
                                   bool isHashedTarget) const
{
    const double load = estimatedLoad(target, means);
    double cachedTokens = 0;
    if (m_options.usePrefix && load <= PrefixLoadBound * means.load + traits.cost) {
        cachedTokens = std::min<double>(target.prefixTokens, traits.promptTokens);
        cachedTokens = isHashedTarget ? std::max(cachedTokens, traits.promptTokens * HashedPrefixShare) : cachedTokens;
    }
    const double refusalCost = PressureWeight * means.capacity * std::log(std::max(1.0, target.reportedPressure));
    const double work = refusalCost + load / std::max(target.warmth, MinWarmth) + traits.cost
        + (target.pendingPromptTokens - cachedTokens) * PrefixTokenValue;
    const double delay = 2 * m_options.zonePrice * static_cast<double>(target.zoneDelay.count());
    return work * target.slowness * traits.timePerUnit.count() + delay;
}

} // namespace Heatherridge
