#pragma once

#include "loadtrace.h"

#include "heatherridge_state/groups/rebalancepolicy.h"

namespace Heatherridge
{

/** What a run is made with, beyond its trace and policy. */
struct SimulationOptions
{
    TraceOptions trace{};
    BalanceWeights weights{};
    double storeBytesPerSecond = 1; ///< what the weight store gives the group
    double reportLossRatio = 0.1; ///< part of the reports that never arrive
};

/** What a run measured. */
struct SimulationResult
{
    double meanSkew = 0; ///< slowest rank over mean, mean over windows
    double p99Skew = 0;
    double boundSkew = 0; ///< mean over windows of what no placement can be better than
    double meanExcess = 0; ///< step time beyond evenly spread work, as a part of the latter
    double bytesMoved = 0;
    int switches = 0;
    std::chrono::duration<double> stallTime{}; ///< pauses at switches
    double loadingRatio = 0; ///< part of the time in which the store was loading
    double score = 0; ///< weighted; lower is better

    /** Sums up for a mean over several runs. */
    SimulationResult &operator+=(const SimulationResult &other);
    /** Every figure divided by @p runs. */
    SimulationResult dividedBy(int runs) const;
};

/**
 * Runs a copy of @p policy over a trace.
 *
 * What it is given: estimates from reports, one window late and partly lost. What it decides is loaded through the
 * rate-limited store in stages of StageDuration, each ending in a switch; until all stages are done it is not asked
 * again. The same holds for every policy. The score is weight of skew x mean excess + weight of cost x (part of the
 * time spent loading + part spent in pauses).
 */
SimulationResult simulate(const SimulationOptions &options, const RebalancePolicy &policy);

} // namespace Heatherridge
