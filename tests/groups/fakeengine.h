#pragma once

#include "heatherridge_coordination/groups/rankgate.h"

#include <deque>
#include <map>

namespace Heatherridge
{

/** A rank's engine as the tests see it: follows orders as engineorder.h says and steps when its epoch's ranks allow. */
struct FakeEngine
{
    EngineState state{};
    /** By epoch: first step not started there, kept after leaving it, since what was sent to the others stays sent. */
    std::map<EpochNumber, StepNumber> started{};
    std::deque<OrderEngine> orders{}; ///< given but not yet followed; survive a restart of the gate
    std::vector<Incarnation> gateRuns{}; ///< of which orders were followed; the last is the present one

    /** Whether an order of gate run @p run is not behind a later run's. */
    bool admits(Incarnation run);
    void follow(const EngineOrder &order, bool loadSucceeds);
    void restart(Incarnation run);
};

} // namespace Heatherridge
