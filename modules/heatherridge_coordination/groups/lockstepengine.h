#pragma once

#include "heatherridge_protocol/engineorder.h"

#include <functional>
#include <map>

namespace Heatherridge
{

/** A step that a rank has started, and the map it uses. */
struct StartedStep
{
    EpochNumber epoch{};
    StepNumber step{};
    MapNumber map{};
};

/**
 * Reference model of the engine behaviour that gates require, as a state machine: executes orders as specified in
 * engineorder.h, and starts a step only once all ranks of its epoch have taken part in the previous one.
 *
 * Used by the rank stand-in and the tests, and as the reference for adapters to real engines. Not thread-safe; use from
 * one thread.
 */
class LockStepEngine
{
public:
    /** Creates an engine in its initial state: in no epoch, with no weights loaded. */
    explicit LockStepEngine(Incarnation run = {});

    /** Simulates a restart: discards all state except the model's sizes and the progress that the other ranks have
     * seen. */
    void restart(Incarnation run);

    /** Returns whether orders of gate run @p run may be executed. The first order of a new run ends all earlier runs.
     */
    bool acceptsRun(Incarnation run);

    /** Executes @p order. @p loadSucceeds is the result of loading weights. */
    void execute(const EngineOrder &order, bool loadSucceeds = true);

    /**
     * Starts the next step if permitted.
     * @param progress returns, for a rank and an epoch, the first step that the rank has not started in this epoch, or
     * nothing while the rank is not known to have entered it
     * @returns the started step, or nothing if the engine has to wait
     */
    std::optional<StartedStep>
    startStep(const std::function<std::optional<StepNumber>(int rank, EpochNumber epoch)> &progress);

    /** Returns the first step not started in @p epoch, or nothing if the engine never entered it. Kept after leaving
     * the epoch, since the data sent to the other ranks stays valid. */
    std::optional<StepNumber> progressIn(EpochNumber epoch) const;

    /** Returns the state as reported to the gate. */
    const EngineState &state() const;

private:
    void execute(const LoadWeights &load, bool succeeds);
    void execute(const DropWeights &drop);
    void execute(const LimitSteps &limit);
    void execute(const ScheduleMap &schedule);
    void execute(const LiftLimit &lift);
    void execute(const EnterEpoch &enter);
    void execute(const LeaveEpoch &leave);
    bool isLoaded(MapNumber map) const;
    bool isInUse(MapNumber map) const;

    EngineState m_state;
    std::map<EpochNumber, StepNumber> m_progress;
    std::vector<Incarnation> m_gateRuns; ///< runs that have sent orders; the last is the current one
};

} // namespace Heatherridge
