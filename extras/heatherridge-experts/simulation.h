#pragma once

#include "loadtrace.h"

#include "heatherridge_state/groups/rebalancepolicy.h"

namespace Heatherridge
{

/** Options of a simulation run, including those of its load trace. */
struct SimulationOptions
{
    TraceOptions trace{};
    BalanceWeights weights{};
    double storeBytesPerSecond = 1; ///< rate at which the group loads from the weight store
    double reportLossRatio = 0.1; ///< share of the reports that are lost
};

/** Results of a simulation run. */
struct SimulationResult
{
    double meanSkew = 0; ///< slowest rank relative to the mean rank, averaged over windows
    double p99Skew = 0;
    double boundSkew = 0; ///< lower bound of the skew of any placement, averaged over windows
    double meanExcess = 0; ///< step time in excess of that of evenly spread work, relative to the latter
    double bytesMoved = 0;
    int switches = 0;
    std::chrono::duration<double> stallTime{}; ///< total of the pauses at switches
    double loadingRatio = 0; ///< share of the time spent loading from the store
    double score = 0; ///< weighted; lower is better

    /** Adds the figures of @p other, to compute a mean over several runs. */
    SimulationResult &operator+=(const SimulationResult &other);
    /** Returns every figure divided by @p runs. */
    SimulationResult dividedBy(int runs) const;
};

/**
 * Runs a copy of @p policy over a trace.
 *
 * The policy receives estimates from reports that arrive one window late and are partly lost. The placement that it
 * chooses is loaded from the rate-limited store in stages of StageDuration, each of which ends in a switch; the policy
 * is not called again until all stages are complete. These rules are the same for every policy. The score is weight of
 * skew x mean excess + weight of cost x (share of the time spent loading + share spent in pauses).
 */
SimulationResult simulate(const SimulationOptions &options, const RebalancePolicy &policy);

} // namespace Heatherridge
