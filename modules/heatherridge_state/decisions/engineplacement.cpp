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

/** What @p engine has with @p added requests, as requests of an engine that is not slow: each takes its time at its own
 * engine, and the whole group waits for it. */
double loadWithAdded(const EngineCandidate &engine, int added)
{
    return (engine.target.load + added) * std::max(1.0, engine.slowdown);
}

bool acceptsStream(const EngineCandidate &engine, const EngineGroup &group)
{
    return engine.isOpen && !group.isStalled && !engine.isRefusing && !engine.target.wasTried
        && !engine.target.isAtLimit && loadWithAdded(engine, 1) <= engine.target.slots;
}

/** What kind of place a stream finds at an engine. */
enum class Suitability {
    Suitable, ///< on time
    NoHeadroom, ///< its passes are too long with one stream more
    AlwaysLate, ///< no stream is on time there
    Unhealthy, ///< it has failed of late
    SlowInLateGroup, ///< its whole group waits for it already
    SlowInTimelyGroup, ///< its whole group would wait for it
};

constexpr std::size_t SuitabilityCount = 6;

/** Engines that one stream is compared for: so many times this entry's part of them, and two at the least. */
constexpr double ComparedShare = 0.5;
constexpr std::size_t MinCompared = 2;

/** The pace of each group's quickest engine. */
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

/** The places that a stream may take, the best first. */
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

/** The least loaded of the engines @p candidates, by the rules for any target. */
std::optional<std::size_t> leastLoaded(std::span<const EngineCandidate> engines,
                                       const std::vector<std::size_t> &candidates, RandomSource &random)
{
    std::vector<DirectCandidate> targets;
    targets.reserve(candidates.size());
    for (const auto index : candidates) {
        auto target = engines[index].target;
        target.load =
            loadWithAdded(engines[index], 1) - 1; // a slow engine is not to be taken for idle without a request
        targets.push_back(target);
    }
    const auto chosen = placeDirectly(targets, random);
    return chosen ? std::optional(candidates[*chosen]) : std::nullopt;
}

/** Some of @p candidates, drawn at random: @p sampledShare of them, and LeastCompared at the least. */
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

/** Some near and some far ones of @p candidates. Near ones are a small part of many zones' engines, and hardly any
 * would be drawn beside the others. */
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

/** Those of @p candidates that are in one group, drawn by the room that groups have left. */
std::vector<std::size_t> drawGroup(std::span<const EngineCandidate> engines, const std::vector<std::size_t> &candidates,
                                   std::span<const EngineGroup> groups, RandomSource &random)
{
    std::vector<double> headroom(groups.size(), 0);
    for (const auto index : candidates) {
        headroom[engines[index].group] = std::max(groups[engines[index].group].headroom, 0.0);
    }
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
