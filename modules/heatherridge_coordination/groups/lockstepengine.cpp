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

bool LockStepEngine::acceptsRun(Incarnation run)
{
    if (std::find(m_gateRuns.begin(), m_gateRuns.end(), run) == m_gateRuns.end()) {
        m_gateRuns.push_back(run);
    }
    m_state.gateRun = m_gateRuns.back();
    return m_gateRuns.back() == run;
}

void LockStepEngine::execute(const EngineOrder &order, bool loadSucceeds)
{
    std::visit(Visitor{
                   [](const PollEngine &) {},
                   [&](const LoadWeights &load) { execute(load, loadSucceeds); },
                   [&](const auto &other) { execute(other); },
               },
               order);
}

std::optional<StartedStep>
LockStepEngine::startStep(const std::function<std::optional<StepNumber>(int rank, EpochNumber epoch)> &progress)
{
    const bool isLimited = m_state.limit && m_state.next >= m_state.limit->bound;
    if (m_state.ranks.empty() || isLimited) {
        return std::nullopt;
    }
    for (const int rank : m_state.ranks) {
        const auto rankProgress = progress(rank, m_state.epoch);
        if (!rankProgress || *rankProgress < m_state.next) {
            return std::nullopt; // the previous step is incomplete: this rank has not taken part in it
        }
    }
    if (m_state.scheduled && m_state.next >= m_state.scheduled->from) {
        m_state.map = m_state.scheduled->map;
        m_state.mapSince = m_state.scheduled->from;
        m_state.scheduled.reset();
    }
    const StartedStep step{.epoch = m_state.epoch, .step = m_state.next, .map = m_state.map};
    m_state.next = static_cast<StepNumber>(toNumber(m_state.next) + 1);
    auto &progressInEpoch = m_progress[m_state.epoch];
    progressInEpoch = std::max(progressInEpoch, m_state.next);
    return step;
}

std::optional<StepNumber> LockStepEngine::progressIn(EpochNumber epoch) const
{
    const auto found = m_progress.find(epoch);
    return found == m_progress.end() ? std::nullopt : std::optional(found->second);
}

const EngineState &LockStepEngine::state() const
{
    return m_state;
}

void LockStepEngine::execute(const LoadWeights &load, bool succeeds)
{
    const auto map = load.map.number();
    if (!succeeds) {
        m_state.failed = map;
    } else if (!isLoaded(map)) {
        m_state.loaded.push_back(map);
    }
}

void LockStepEngine::execute(const DropWeights &drop)
{
    const bool isLimited = m_state.limit && m_state.limit->map == drop.map;
    if (!isInUse(drop.map) && !isLimited) {
        std::erase(m_state.loaded, drop.map);
    }
}

void LockStepEngine::execute(const LimitSteps &limit)
{
    const bool isStale = limit.epoch != m_state.epoch || limit.map <= m_state.map || limit.bound < m_state.next;
    if (!isStale && !m_state.limit && !isInUse(limit.map) && isLoaded(limit.map)) {
        m_state.limit = StepLimit{.map = limit.map, .bound = limit.bound};
    }
}

void LockStepEngine::execute(const ScheduleMap &schedule)
{
    if (schedule.epoch != m_state.epoch || schedule.map <= m_state.map || isInUse(schedule.map)
        || !isLoaded(schedule.map)) {
        return;
    }
    m_state.scheduled = ScheduledMap{.map = schedule.map, .from = schedule.from};
    execute(LiftLimit{schedule.map});
}

void LockStepEngine::execute(const LiftLimit &lift)
{
    if (m_state.limit && m_state.limit->map == lift.map) {
        m_state.limit.reset();
    }
}

void LockStepEngine::execute(const EnterEpoch &enter)
{
    if (enter.epoch.number <= m_state.epoch || !isLoaded(enter.epoch.map.number())) {
        return;
    }
    execute(LeaveEpoch{enter.epoch.number});
    for (const auto &member : enter.epoch.members) {
        m_state.ranks.push_back(member.rank);
    }
    m_state.next = {};
    m_state.map = enter.epoch.map.number();
    m_progress.try_emplace(m_state.epoch);
}

void LockStepEngine::execute(const LeaveEpoch &leave)
{
    if (leave.successor > m_state.epoch) {
        m_state.epoch = leave.successor;
        m_state.ranks.clear();
        m_state.limit.reset();
        m_state.scheduled.reset();
        m_state.mapSince = {};
    }
}

bool LockStepEngine::isLoaded(MapNumber map) const
{
    return std::find(m_state.loaded.begin(), m_state.loaded.end(), map) != m_state.loaded.end();
}

bool LockStepEngine::isInUse(MapNumber map) const
{
    return m_state.map == map || (m_state.scheduled && m_state.scheduled->map == map);
}

} // namespace Heatherridge
