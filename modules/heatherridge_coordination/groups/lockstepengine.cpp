#include "heatherridge_coordination/groups/lockstepengine.h"

#include "heatherridge_state/base/result.h"

#include <algorithm>

namespace Heatherridge
{

LockStepEngine::LockStepEngine(Incarnation run)
{
    m_state.run = run;
}

void LockStepEngine::restart(Incarnation run)
{
    const auto model = m_state.model;
    m_state = EngineState{.run = run};
    m_state.model = model;
}

bool LockStepEngine::admits(Incarnation run)
{
    if (std::find(m_gateRuns.begin(), m_gateRuns.end(), run) == m_gateRuns.end()) {
        m_gateRuns.push_back(run);
    }
    m_state.gateRun = m_gateRuns.back();
    return m_gateRuns.back() == run;
}

void LockStepEngine::follow(const EngineOrder &order, bool loadSucceeds)
{
    std::visit(Visitor{
                   [](const PollEngine &) {},
                   [&](const LoadWeights &load) { follow(load, loadSucceeds); },
                   [&](const auto &other) { follow(other); },
               },
               order);
}

std::optional<StartedStep>
LockStepEngine::startStep(const std::function<std::optional<StepNumber>(int rank, EpochNumber epoch)> &progress)
{
    const bool limited = m_state.limit && m_state.next >= m_state.limit->bound;
    if (m_state.ranks.empty() || limited) {
        return std::nullopt;
    }
    for (const int rank : m_state.ranks) {
        const auto reached = progress(rank, m_state.epoch);
        if (!reached || *reached < m_state.next) {
            return std::nullopt; // the step before is not finished, since this rank has not taken part in it
        }
    }
    if (m_state.scheduled && m_state.next >= m_state.scheduled->from) {
        m_state.map = m_state.scheduled->map;
        m_state.mapSince = m_state.scheduled->from;
        m_state.scheduled.reset();
    }
    const StartedStep step{.epoch = m_state.epoch, .step = m_state.next, .map = m_state.map};
    m_state.next = static_cast<StepNumber>(toNumber(m_state.next) + 1);
    auto &started = m_started[m_state.epoch];
    started = std::max(started, m_state.next);
    return step;
}

std::optional<StepNumber> LockStepEngine::progressIn(EpochNumber epoch) const
{
    const auto found = m_started.find(epoch);
    return found == m_started.end() ? std::nullopt : std::optional(found->second);
}

const EngineState &LockStepEngine::state() const
{
    return m_state;
}

void LockStepEngine::follow(const LoadWeights &load, bool succeeds)
{
    const auto map = load.map.number();
    if (!succeeds) {
        m_state.failed = map;
    } else if (!has(map)) {
        m_state.loaded.push_back(map);
    }
}

void LockStepEngine::follow(const DropWeights &drop)
{
    const bool limited = m_state.limit && m_state.limit->map == drop.map;
    if (!inUse(drop.map) && !limited) {
        std::erase(m_state.loaded, drop.map);
    }
}

void LockStepEngine::follow(const LimitSteps &limit)
{
    const bool late = limit.epoch != m_state.epoch || limit.map <= m_state.map || limit.bound < m_state.next;
    if (!late && !m_state.limit && !inUse(limit.map) && has(limit.map)) {
        m_state.limit = StepLimit{.map = limit.map, .bound = limit.bound};
    }
}

void LockStepEngine::follow(const ScheduleMap &schedule)
{
    if (schedule.epoch != m_state.epoch || schedule.map <= m_state.map || inUse(schedule.map) || !has(schedule.map)) {
        return;
    }
    m_state.scheduled = ScheduledMap{.map = schedule.map, .from = schedule.from};
    follow(LiftLimit{schedule.map});
}

void LockStepEngine::follow(const LiftLimit &lift)
{
    if (m_state.limit && m_state.limit->map == lift.map) {
        m_state.limit.reset();
    }
}

void LockStepEngine::follow(const EnterEpoch &enter)
{
    if (enter.epoch.number <= m_state.epoch || !has(enter.epoch.map.number())) {
        return;
    }
    follow(LeaveEpoch{enter.epoch.number});
    for (const auto &member : enter.epoch.members) {
        m_state.ranks.push_back(member.rank);
    }
    m_state.next = {};
    m_state.map = enter.epoch.map.number();
    m_started.try_emplace(m_state.epoch);
}

void LockStepEngine::follow(const LeaveEpoch &leave)
{
    if (leave.successor > m_state.epoch) {
        m_state.epoch = leave.successor;
        m_state.ranks.clear();
        m_state.limit.reset();
        m_state.scheduled.reset();
        m_state.mapSince = {};
    }
}

bool LockStepEngine::has(MapNumber map) const
{
    return std::find(m_state.loaded.begin(), m_state.loaded.end(), map) != m_state.loaded.end();
}

bool LockStepEngine::inUse(MapNumber map) const
{
    return m_state.map == map || (m_state.scheduled && m_state.scheduled->map == map);
}

} // namespace Heatherridge
