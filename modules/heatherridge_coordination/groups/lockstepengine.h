#pragma once

#include "heatherridge_protocol/engineorder.h"

#include <functional>
#include <map>

namespace Heatherridge
{

/** One step as a rank started it. */
struct StartedStep
{
    EpochNumber epoch{};
    StepNumber step{};
    MapNumber map{};
};

/**
 * What gates require of a rank's engine, as a state machine: it follows orders as engineorder.h says, and starts a step
 * only when all ranks of its epoch have taken part in the one before.
 *
 * The rank stand-in and the tests run it; for an adaptor to a real engine it is the reference. One thread.
 */
class LockStepEngine
{
public:
    /** An engine that was just started: in no epoch, nothing loaded. */
    explicit LockStepEngine(Incarnation run = {});

    /** Loses all but the progress that the other ranks have seen, as a restart does. */
    void restart(Incarnation run);

    /** Whether an order of gate run @p run may be followed: the first of an unknown run ends those before. */
    bool acceptsRun(Incarnation run);

    /** Follows @p order; @p loadSucceeds is what becomes of a load. */
    void execute(const EngineOrder &order, bool loadSucceeds = true);

    /**
     * Starts the next step if it may.
     * @param progress for a rank and an epoch, the first step that the rank has not started there; nothing while it is
     * not known to have entered
     */
    std::optional<StartedStep>
    startStep(const std::function<std::optional<StepNumber>(int rank, EpochNumber epoch)> &progress);

    /** The first step not started in @p epoch; kept after leaving it, since what was sent to the others stays sent. */
    std::optional<StepNumber> progressIn(EpochNumber epoch) const;

    /** What it says of itself. */
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
    std::vector<Incarnation> m_gateRuns; ///< of which orders were followed; the last is the present one
};

} // namespace Heatherridge
