#include "heatherridge_state/decisions/engineplacement.h"

#include <algorithm>
#include <iterator>

namespace Heatherridge
{

namespace
{

using Milliseconds = std::chrono::duration<double, std::milli>;

/** What @p engine has with @p more requests, as requests of an engine that is not slow: each takes its time at its own
 * engine, and the whole group waits for it. */
double loadWith(const EngineCandidate &engine, int more)
{
    return (engine.target.load + more) * std::max(1.0, engine.pace);
}

/** Most requests at one engine of each group. */
std::vector<double> highestLoads(std::span<const EngineCandidate> engines, std::size_t groups)
{
    std::vector<double> highest(groups, 0);
    for (const auto &engine : engines) {
        highest[engine.group] = std::max(highest[engine.group], loadWith(engine, 0));
    }
    return highest;
}

/** Length of the group's passes when one of its engines has @p load. */
Milliseconds passWith(double load, double highest, const EngineGroup &group, const EnginePlacementRules &rules)
{
    const auto now = rules.step + rules.stepPerRequest * highest;
    const auto then = rules.step + rules.stepPerRequest * std::max(highest, load);
    const double growth = now.count() > 0 ? then / now : 1;
    return group.passTime * growth;
}

bool takesNew(const EngineCandidate &engine, const EngineGroup &group, const EnginePlacementRules &rules)
{
    return engine.isOpen && !group.isStalled && !engine.refusesNow && !engine.target.wasTried
        && loadWith(engine, 1) <= engine.target.slots * rules.mostPart;
}

bool isOnTime(const EngineCandidate &engine, Milliseconds pass, const EnginePlacementRules &rules)
{
    return pass <= rules.longestPass && loadWith(engine, 1) <= engine.target.slots * rules.onTimePart
        && engine.target.health != Health::Ejected;
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

/** Those of @p among that are in the group with the longest passes. */
std::vector<std::size_t> ofSlowestGroup(std::span<const EngineCandidate> engines, const std::vector<std::size_t> &among,
                                        std::span<const EngineGroup> groups)
{
    Milliseconds longest{-1};
    for (const auto index : among) {
        longest = std::max(longest, groups[engines[index].group].passTime);
    }
    std::vector<std::size_t> slowest;
    std::copy_if(among.begin(), among.end(), std::back_inserter(slowest),
                 [&](auto index) { return groups[engines[index].group].passTime == longest; });
    return slowest;
}

} // namespace

EngineChoice placeStream(std::span<const EngineCandidate> engines, std::span<const EngineGroup> groups,
                         const EnginePlacementRules &rules, RandomSource &random)
{
    const auto highest = highestLoads(engines, groups.size());
    std::vector<std::size_t> onTime;
    std::vector<std::size_t> others;
    std::vector<std::size_t> slow;
    bool anyOpen = false;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const auto &engine = engines[index];
        anyOpen = anyOpen || (engine.isOpen && !engine.target.wasTried);
        if (!takesNew(engine, groups[engine.group], rules)) {
            continue;
        }
        if (engine.pace >= rules.slowPace) {
            slow.push_back(index);
            continue;
        }
        const auto pass = passWith(loadWith(engine, 1), highest[engine.group], groups[engine.group], rules);
        (isOnTime(engine, pass, rules) ? onTime : others).push_back(index);
    }
    if (!onTime.empty()) {
        return {.index = leastLoaded(engines, onTime, random)};
    }
    const auto &rest = others.empty() ? slow : others;
    const auto index = leastLoaded(engines, ofSlowestGroup(engines, rest, groups), random);
    return {.index = index, .isFull = !index && anyOpen};
}

} // namespace Heatherridge
