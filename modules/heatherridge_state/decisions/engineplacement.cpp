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

/** What @p engine has with @p more requests, as requests of an engine that is not slow: each takes its time at its own
 * engine, and the whole group waits for it. */
double loadWith(const EngineCandidate &engine, int more)
{
    return (engine.target.load + more) * std::max(1.0, engine.pace);
}

bool takesNew(const EngineCandidate &engine, const EngineGroup &group)
{
    return engine.isOpen && !group.isStalled && !engine.refusesNow && !engine.target.wasTried
        && !engine.target.isHeldBack && loadWith(engine, 1) <= engine.target.slots;
}

/** What kind of place a stream finds at an engine. */
enum class Place {
    Good, ///< on time
    Crowded, ///< its passes are too long with one stream more
    Lost, ///< no stream is on time there
    Doubtful, ///< it has failed of late
    Slow, ///< its whole group waits for it already
    Spared, ///< its whole group would wait for it
};

constexpr std::size_t PlaceKinds = 6;

/** Engines that one stream is compared for: so many times this entry's part of them, and two at the least. */
constexpr double ComparedParts = 0.5;
constexpr std::size_t LeastCompared = 2;

/** The pace of each group's quickest engine. */
std::vector<double> quickestPaces(std::span<const EngineCandidate> engines, std::size_t groups)
{
    std::vector<double> quickest(groups, std::numeric_limits<double>::max());
    for (const auto &engine : engines) {
        quickest[engine.group] = std::min(quickest[engine.group], std::max(1.0, engine.pace));
    }
    return quickest;
}

Place placeAt(const EngineCandidate &engine, const EngineGroup &group, double quickestPace, Urgency urgency)
{
    if (engine.pace >= SlowPace * quickestPace) {
        return group.cannotBeOnTime ? Place::Slow : Place::Spared;
    }
    if (engine.target.health == Health::Ejected) {
        return Place::Doubtful;
    }
    if (group.cannotBeOnTime) {
        return Place::Lost;
    }
    const bool hasRoom = urgency == Urgency::Late ? group.hasRoom && group.hasRoomForLate : group.hasRoom;
    return hasRoom ? Place::Good : Place::Crowded;
}

/** The places that a stream may take, the best first. */
std::vector<Place> placesFor(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Begun:
        return {Place::Good, Place::Crowded, Place::Lost, Place::Doubtful, Place::Slow, Place::Spared};
    case Urgency::Timely:
        return {Place::Good};
    case Urgency::Late:
        break;
    }
    return {Place::Good, Place::Lost, Place::Doubtful, Place::Slow};
}

/** The least loaded of the engines @p among, by the rules for any target. */
std::optional<std::size_t> leastLoaded(std::span<const EngineCandidate> engines, const std::vector<std::size_t> &among,
                                       RandomSource &random)
{
    std::vector<DirectCandidate> targets;
    targets.reserve(among.size());
    for (const auto index : among) {
        auto target = engines[index].target;
        target.load = loadWith(engines[index], 1) - 1; // a slow engine is not to be taken for idle without a request
        targets.push_back(target);
    }
    const auto chosen = placeDirectly(targets, random);
    return chosen ? std::optional(among[*chosen]) : std::nullopt;
}

/** Some of @p among, drawn at random: @p part of them, and LeastCompared at the least. */
std::vector<std::size_t> drawnFew(std::vector<std::size_t> among, double part, RandomSource &random)
{
    const auto wanted = static_cast<std::size_t>(std::ceil(static_cast<double>(among.size()) * part));
    const auto count = std::min(std::max(wanted, LeastCompared), among.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(among[index], among[index + random.below(among.size() - index)]);
    }
    among.resize(count);
    return among;
}

/** Some near and some far ones of @p among. Near ones are a small part of many zones' engines, and hardly any would be
 * drawn beside the others. */
std::vector<std::size_t> comparedOf(std::span<const EngineCandidate> engines, std::vector<std::size_t> among,
                                    double share, RandomSource &random)
{
    const auto far = std::stable_partition(among.begin(), among.end(),
                                           [&engines](auto index) { return engines[index].target.isNear; });
    const double part = share * ComparedParts;
    auto compared = drawnFew({among.begin(), far}, part, random);
    const auto others = drawnFew({far, among.end()}, part, random);
    compared.insert(compared.end(), others.begin(), others.end());
    return compared;
}

/** Those of @p among that are in one group, drawn by the room that groups have left. */
std::vector<std::size_t> ofDrawnGroup(std::span<const EngineCandidate> engines, const std::vector<std::size_t> &among,
                                      std::span<const EngineGroup> groups, RandomSource &random)
{
    std::vector<double> room(groups.size(), 0);
    for (const auto index : among) {
        room[engines[index].group] = std::max(groups[engines[index].group].room, 0.0);
    }
    double left = random.fraction() * std::accumulate(room.begin(), room.end(), 0.0);
    std::size_t drawn = engines[among.front()].group;
    for (std::size_t group = 0; group < groups.size(); ++group) {
        if (room[group] > 0) {
            drawn = group;
            left -= room[group];
            if (left < 0) {
                break;
            }
        }
    }
    std::vector<std::size_t> ofGroup;
    std::copy_if(among.begin(), among.end(), std::back_inserter(ofGroup),
                 [&](auto index) { return engines[index].group == drawn; });
    return ofGroup;
}

} // namespace

EngineChoice placeStream(std::span<const EngineCandidate> engines, std::span<const EngineGroup> groups,
                         const StreamNeed &need, RandomSource &random)
{
    std::array<std::vector<std::size_t>, PlaceKinds> byPlace;
    const auto quickest = quickestPaces(engines, groups.size());
    bool anyOpen = false;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const auto &engine = engines[index];
        const auto &group = groups[engine.group];
        anyOpen = anyOpen || (engine.isOpen && !engine.target.wasTried);
        if (takesNew(engine, group)) {
            byPlace[static_cast<std::size_t>(placeAt(engine, group, quickest[engine.group], need.urgency))].push_back(
                index);
        }
    }
    for (const auto place : placesFor(need.urgency)) {
        const auto &among = byPlace[static_cast<std::size_t>(place)];
        if (among.empty()) {
            continue;
        }
        auto alike = place == Place::Good ? ofDrawnGroup(engines, among, groups, random) : among;
        return {.index = leastLoaded(engines, comparedOf(engines, std::move(alike), need.share, random), random)};
    }
    return {.isFull = anyOpen};
}

} // namespace Heatherridge
