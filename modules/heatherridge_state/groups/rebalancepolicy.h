#pragma once

#include "heatherridge_state/config/ruleset.h"
#include "heatherridge_state/groups/placement.h"

#include <chrono>
#include <variant>

namespace Heatherridge
{

/** Input of a policy, once per measuring window. */
struct RebalanceInput
{
    const GroupProblem &problem; ///< estimated loads, slowness, slots
    const std::vector<LayerPlacement> &current; ///< the active map
    double relativeError = 0; ///< relative error of a rank's load, see PopularityEstimator
    std::chrono::duration<double> sinceLastCall{}; ///< time since the last call
    double storeBytesPerSecond = 0; ///< rate at which the weight store serves this group
    BalanceWeights weights{}; ///< weights configured for the deployment
};

/** Baseline: keeps the first map. */
struct NeverRebalance
{
    /** Returns nothing. */
    std::optional<std::vector<LayerPlacement>> decide(const RebalanceInput &input);
};

/** Placement methods of the baselines. */
enum class BaselinePlacement {
    Greedy,
    Replicated,
    Hierarchical,
};

/** Returns the placement computed by @p method, or nothing if the experts do not fit. */
std::optional<std::vector<LayerPlacement>> baselinePlacement(BaselinePlacement method, const GroupProblem &problem);

/** Baseline: computes a new placement in every period, regardless of its cost; with a period of zero, in every window.
 */
struct PeriodicRebalance
{
    BaselinePlacement method = BaselinePlacement::Replicated;
    std::chrono::duration<double> period{};
    std::chrono::duration<double> elapsed{};

    /** Returns the placement of the method if the period has elapsed and it differs from the active one, otherwise
     * nothing. */
    std::optional<std::vector<LayerPlacement>> decide(const RebalanceInput &input);
};

/**
 * Switches when the accumulated excess cost of the active map, compared with a better one, reaches the cost of
 * switching.
 *
 * Load pattern: drift and temporary swings of unknown duration. Switching at once pays for swings that end before the
 * weights are loaded; waiting for certainty pays too long in case of real drift. Because the cost of not switching is
 * accumulated and the switch is made when it reaches the switching cost, the total cost is at most twice that of a
 * policy that knows the future, whatever the load does (ski-rental problem). The sum also provides hysteresis: a
 * temporary swing ends before the sum is reached, and after a switch the sum starts at zero. Only the gain that exceeds
 * noise is counted, so pure noise accumulates nothing.
 *
 * Costs are in seconds: excess step time times the skew weight, compared with loading time times the cost weight.
 */
class RegretRebalance
{
public:
    /** Time within which the gain from a moved expert must cover the cost of loading it. Drift lasts for hours; a
     * quarter of an hour is well below that and keeps a single wrong move cheap. */
    static constexpr std::chrono::duration<double> PaybackPeriod{900};
    /** Gains below this many standard errors are ignored: by chance, the largest of 64 equal ranks appears 2.4 standard
     * errors hotter than the mean. */
    static constexpr double NoiseStandardErrors = 2.4;
    /** Fixed cost of a switch in seconds: the records, the messages and a pause of one step. */
    static constexpr std::chrono::duration<double> SwitchCost{0.25};

    /** Returns the improved placement once the accumulated regret covers its cost, or at once if a rank with experts
     * has left; otherwise nothing. */
    std::optional<std::vector<LayerPlacement>> decide(const RebalanceInput &input);

    /** Returns the excess cost of the active map, compared with the better one, since the last switch, in weighted
     * seconds. */
    double regret() const;

private:
    double m_regret = 0;
};

/** All policies; the simulation runs them on the same load traces. */
using RebalancePolicy = std::variant<NeverRebalance, PeriodicRebalance, RegretRebalance>;

/** Returns the placement that @p policy selects, or nothing to keep the current one. */
std::optional<std::vector<LayerPlacement>> decide(RebalancePolicy &policy, const RebalanceInput &input);

} // namespace Heatherridge
