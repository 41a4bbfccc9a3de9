#include "groups/fakeengine.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

bool has(const EngineState &state, MapNumber map)
{
    return std::find(state.loaded.begin(), state.loaded.end(), map) != state.loaded.end();
}

} // namespace

void FakeEngine::follow(const EngineOrder &order, bool loadSucceeds)
{
    const auto inUse = [this](MapNumber map) {
        return state.map == map || (state.scheduled && state.scheduled->map == map);
    };
    std::visit(Visitor{
                   [](const PollEngine &) {},
                   [&](const LoadWeights &load) {
                       if (!loadSucceeds) {
                           state.failed = load.map.number();
                       } else if (!has(state, load.map.number())) {
                           state.loaded.push_back(load.map.number());
                       }
                   },
                   [&](const DropWeights &drop) {
                       if (!inUse(drop.map) && !(state.limit && state.limit->map == drop.map)) {
                           std::erase(state.loaded, drop.map);
                       }
                   },
                   [&](const LimitSteps &limit) {
                       const bool fits = limit.epoch == state.epoch && !state.limit && !inUse(limit.map)
                           && limit.map > state.map && has(state, limit.map) && limit.bound >= state.next;
                       if (fits) {
                           state.limit = StepLimit{.map = limit.map, .bound = limit.bound};
                       }
                   },
                   [&](const ScheduleMap &schedule) {
                       if (schedule.epoch != state.epoch || inUse(schedule.map) || schedule.map < state.map
                           || !has(state, schedule.map)) {
                           return;
                       }
                       state.scheduled = ScheduledMap{.map = schedule.map, .from = schedule.from};
                       if (state.limit && state.limit->map == schedule.map) {
                           state.limit.reset();
                       }
                   },
                   [&](const LiftLimit &lift) {
                       if (state.limit && state.limit->map == lift.map) {
                           state.limit.reset();
                       }
                   },
                   [&](const EnterEpoch &enter) {
                       if (enter.epoch.number <= state.epoch || !has(state, enter.epoch.map.number())) {
                           return;
                       }
                       state.epoch = enter.epoch.number;
                       state.ranks.clear();
                       for (const auto &member : enter.epoch.members) {
                           state.ranks.push_back(member.rank);
                       }
                       state.next = {};
                       state.map = enter.epoch.map.number();
                       state.mapSince = {};
                       state.limit.reset();
                       state.scheduled.reset();
                       started.try_emplace(state.epoch);
                   },
                   [&](const LeaveEpoch &leave) {
                       if (leave.successor > state.epoch) {
                           state.epoch = leave.successor;
                           state.ranks.clear();
                           state.limit.reset();
                           state.scheduled.reset();
                           state.mapSince = {};
                       }
                   },
               },
               order);
}

bool FakeEngine::admits(Incarnation run)
{
    if (std::find(gateRuns.begin(), gateRuns.end(), run) == gateRuns.end()) {
        gateRuns.push_back(run);
    }
    return gateRuns.back() == run;
}

void FakeEngine::restart(Incarnation run)
{
    state = EngineState{.run = run};
}

} // namespace Heatherridge
