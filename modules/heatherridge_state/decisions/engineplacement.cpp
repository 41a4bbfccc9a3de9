#include "heatherridge_state/decisions/engineplacement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>
#include <vector>

namespace Heatherridge
{

namespace
{

/**
 * Load of @p engine with @p added more requests, in requests of an engine that is not slow: each request takes its time
 * at its own engine, and the whole group waits for it.
 */
double loadWithAdded(const EngineCandidate &engine, int added)
{
    return (engine.target.load + added) * std::max(1.0, engine.slowdown);
}

bool acceptsStream(const EngineCandidate &engine, const EngineGroup &group)
{
    return engine.isOpen && !group.isStalled && !engine.isRefusing && !engine.target.wasTried
        && !engine.target.isHeldBack && loadWithAdded(engine, 1) <= engine.target.slots;
}

/** How suitable an engine is for a stream. */
enum class Suitability {
    Suitable, ///< the stream would be on time
    NoHeadroom, ///< its passes are too long with one more stream
    AlwaysLate, ///< no stream of its group is on time
    Unhealthy, ///< it has failed recently
    SlowInLateGroup, ///< slow, but no stream of its group is on time anyway
    SlowInTimelyGroup, ///< slow, and would delay its whole group
};

constexpr std::size_t SuitabilityCount = 6;

/**
 * Size of the sample that is compared for one stream: this fraction of this entry's share of the engines, and at least
 * two.
 */
constexpr double ComparedShare = 0.5;
constexpr std::size_t MinCompared = 2;

/** Returns the slowdown of the fastest engine of each group. */
std::vector<double> computeMinSlowdowns(std::span<const EngineCandidate> engines, std::size_t groups)
{
    std::vector<double> minSlowdowns(groups, std::numeric_limits<double>::max());
    for (const auto &engine : engines) {
        minSlowdowns[engine.group] = std::min(minSlowdowns[engine.group], std::max(1.0, engine.slowdown));
    }
    return minSlowdowns;
}

Suitability classify(const EngineCandidate &engine, const EngineGroup &group, double minSlowdown, Urgency urgency)
{
    if (engine.slowdown >= SlowEngineFactor * minSlowdown) {
        return group.cannotBeOnTime ? Suitability::SlowInLateGroup : Suitability::SlowInTimelyGroup;
    }
    if (engine.target.health == Health::Ejected) {
        return Suitability::Unhealthy;
    }
    if (group.cannotBeOnTime) {
        return Suitability::AlwaysLate;
    }
    const bool hasHeadroom =
        urgency == Urgency::Late ? group.hasHeadroom && group.hasHeadroomForLate : group.hasHeadroom;
    return hasHeadroom ? Suitability::Suitable : Suitability::NoHeadroom;
}

/** Returns the suitabilities that a stream accepts, best first. */
std::vector<Suitability> acceptableSuitabilities(Urgency urgency)
{
    switch (urgency) {
    case Urgency::InProgress:
        return {Suitability::Suitable,  Suitability::NoHeadroom,      Suitability::AlwaysLate,
                Suitability::Unhealthy, Suitability::SlowInLateGroup, Suitability::SlowInTimelyGroup};
    case Urgency::OnTime:
        return {Suitability::Suitable};
    case Urgency::Late:
        break;
    }
    return {Suitability::Suitable, Suitability::AlwaysLate, Suitability::Unhealthy, Suitability::SlowInLateGroup};
}

/** Returns the least loaded engine of @p candidates, by the rules for any target. */
std::optional<std::size_t> leastLoaded(std::span<const EngineCandidate> engines,
                                       const std::vector<std::size_t> &candidates, RandomSource &random)
{
    std::vector<DirectCandidate> targets;
    targets.reserve(candidates.size());
    for (const auto index : candidates) {
        auto target = engines[index].target;
        target.load = loadWithAdded(engines[index], 1) - 1; // a slow engine without requests must not count as idle
        targets.push_back(target);
    }
    const auto chosen = placeDirectly(targets, random);
    return chosen ? std::optional(candidates[*chosen]) : std::nullopt;
}

/** Draws a random sample of @p candidates: the fraction @p sampledShare of them, and at least MinCompared. */
std::vector<std::size_t> drawSample(std::vector<std::size_t> candidates, double sampledShare, RandomSource &random)
{
    const auto sampleSize = static_cast<std::size_t>(std::ceil(static_cast<double>(candidates.size()) * sampledShare));
    const auto count = std::min(std::max(sampleSize, MinCompared), candidates.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(candidates[index], candidates[index + random.below(candidates.size() - index)]);
    }
    candidates.resize(count);
    return candidates;
}

/**
 * Draws a sample of the engines in the entry's own zone and one of the others from @p candidates. Engines in the own
 * zone are a small fraction when there are many zones, and a common sample would contain hardly any of them.
 */
std::vector<std::size_t> sampleByZone(std::span<const EngineCandidate> engines, std::vector<std::size_t> candidates,
                                      double share, RandomSource &random)
{
    const auto firstInOtherZone = std::stable_partition(
        candidates.begin(), candidates.end(), [&engines](auto index) { return engines[index].target.isInOwnZone; });
    const double sampledShare = share * ComparedShare;
    auto sample = drawSample({candidates.begin(), firstInOtherZone}, sampledShare, random);
    const auto otherZoneSample = drawSample({firstInOtherZone, candidates.end()}, sampledShare, random);
    sample.insert(sample.end(), otherZoneSample.begin(), otherZoneSample.end());
    return sample;
}

/**
 * Returns whether streams stay in the entry's own zone. It must have as many engines as the largest group: a smaller
 * part of a group would get more than its share of the group's streams. And its engines must not be more loaded than
 * all by OtherZonePenalty, since a busy group makes all its streams late.
 */
bool staysInOwnZone(std::span<const EngineCandidate> engines, const std::vector<std::size_t> &candidates,
                    double largestGroup)
{
    double load = 0;
    double ownZoneLoad = 0;
    double ownZoneEngines = 0;
    for (const auto index : candidates) {
        const auto &target = engines[index].target;
        load += target.load;
        ownZoneLoad += target.isInOwnZone ? target.load : 0;
        ownZoneEngines += target.isInOwnZone ? 1 : 0;
    }
    const double meanLoad = load / static_cast<double>(candidates.size());
    return ownZoneEngines >= largestGroup && ownZoneLoad / ownZoneEngines <= meanLoad + OtherZonePenalty;
}

/** Returns the weights with which groups are drawn: their headroom, or the part of it in the entry's own zone. */
std::vector<double> groupWeights(std::span<const EngineCandidate> engines, const std::vector<std::size_t> &candidates,
                                 std::span<const EngineGroup> groups)
{
    std::vector<double> engineCounts(groups.size(), 0);
    std::vector<double> ownZoneCounts(groups.size(), 0);
    for (const auto index : candidates) {
        const auto &engine = engines[index];
        engineCounts[engine.group] += 1;
        ownZoneCounts[engine.group] += engine.target.isInOwnZone ? 1 : 0;
    }
    const double largestGroup = *std::max_element(engineCounts.begin(), engineCounts.end());
    const auto &countedEngines = staysInOwnZone(engines, candidates, largestGroup) ? ownZoneCounts : engineCounts;
    std::vector<double> weights(groups.size(), 0);
    for (std::size_t group = 0; group < groups.size(); ++group) {
        if (engineCounts[group] > 0) {
            weights[group] = std::max(groups[group].headroom, 0.0) * countedEngines[group] / engineCounts[group];
        }
    }
    return weights;
}

/** Draws a group, weighted by its headroom, and returns those of @p candidates that belong to it. */
std::vector<std::size_t> drawGroup(std::span<const EngineCandidate> engines, const std::vector<std::size_t> &candidates,
                                   std::span<const EngineGroup> groups, RandomSource &random)
{
    const auto headroom = groupWeights(engines, candidates, groups);
    double remaining = random.fraction() * std::accumulate(headroom.begin(), headroom.end(), 0.0);
    std::size_t drawnGroup = engines[candidates.front()].group;
    for (std::size_t group = 0; group < groups.size(); ++group) {
        if (headroom[group] > 0) {
            drawnGroup = group;
            remaining -= headroom[group];
            if (remaining < 0) {
                break;
            }
        }
    }
    std::vector<std::size_t> groupEngines;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(groupEngines),
                 [&](auto index) { return engines[index].group == drawnGroup; });
    return groupEngines;
}

} // namespace

EngineChoice placeStream(std::span<const EngineCandidate> engines, std::span<const EngineGroup> groups,
                         const PlacementRequest &request, RandomSource &random)
{
    std::array<std::vector<std::size_t>, SuitabilityCount> bySuitability;
    const auto minSlowdowns = computeMinSlowdowns(engines, groups.size());
    bool anyOpen = false;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const auto &engine = engines[index];
        const auto &group = groups[engine.group];
        anyOpen = anyOpen || (engine.isOpen && !engine.target.wasTried);
        if (acceptsStream(engine, group)) {
            bySuitability[static_cast<std::size_t>(
                              classify(engine, group, minSlowdowns[engine.group], request.urgency))]
                .push_back(index);
        }
    }
    for (const auto suitability : acceptableSuitabilities(request.urgency)) {
        const auto &candidates = bySuitability[static_cast<std::size_t>(suitability)];
        if (candidates.empty()) {
            continue;
        }
        auto eligible =
            suitability == Suitability::Suitable ? drawGroup(engines, candidates, groups, random) : candidates;
        return {.index =
                    leastLoaded(engines, sampleByZone(engines, std::move(eligible), request.share, random), random)};
    }
    return {.isFull = anyOpen};
}

} // namespace Heatherridge
