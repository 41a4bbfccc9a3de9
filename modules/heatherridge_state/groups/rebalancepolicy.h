#pragma once

#include "heatherridge_state/config/ruleset.h"
#include "heatherridge_state/groups/placement.h"

#include <chrono>
#include <variant>

namespace Heatherridge
{

/** What a policy sees once a measuring window. */
struct RebalanceInput
{
    const GroupProblem &problem; ///< estimated loads, slowness, slots
    const std::vector<LayerPlacement> &current; ///< the map in force
    double relativeError = 0; ///< of a rank's load, see PopularityEstimator
    std::chrono::duration<double> sinceLastCall{}; ///< time since the last call
    double storeBytesPerSecond = 0; ///< what the weight store gives this group
    BalanceWeights weights{}; ///< the deployment's
};

/** Baseline: the first map stays. */
struct NeverRebalance
{
    /** Always nothing. */
    std::optional<std::vector<LayerPlacement>> decide(const RebalanceInput &input);
};

/** How the baselines place the experts of one layer. */
enum class BaselinePlacement {
    Greedy,
    Replicated,
    Hierarchical,
};

/** The placement that @p method computes, or nothing when the experts don't fit. */
std::optional<std::vector<LayerPlacement>> baselinePlacement(BaselinePlacement method, const GroupProblem &problem);

/** Baseline: a new placement every so often whatever it costs; with a period of zero, in every window. */
struct PeriodicRebalance
{
    BaselinePlacement method = BaselinePlacement::Replicated;
    std::chrono::duration<double> period{};
    std::chrono::duration<double> elapsed{};

    /** The placement of the method, when the period is over. */
    std::optional<std::vector<LayerPlacement>> decide(const RebalanceInput &input);
};

/**
 * Switches when what the present map has cost beyond a better one reaches what the change costs.
 *
 * Pattern of load: drift and swings of unknown length. Switching at once pays for swings that end before the loads are
 * done; waiting for certainty pays too long for real drift. With the cost of not having switched added up over time
 * and the switch made when it reaches the price, the total is at most twice what a policy that knew the future would
 * pay, whatever the load does (the argument of the ski-rental problem). The sum is also the hysteresis: a swing there
 * and back ends before the sum is reached, and just after a switch the sum starts at zero. The gain counted is what
 * exceeds noise, so that pure noise adds up to nothing.
 *
 * Prices are seconds: excess step time times the weight of skew, against loading time times the weight of cost.
 */
class RegretRebalance
{
public:
    /** Time over which a moved expert must pay for its loading. Drift runs over hours; a quarter of one is well inside
     * and leaves single misjudged moves cheap. */
    static constexpr std::chrono::duration<double> PaybackPeriod{900};
    /** The largest of 64 equal ranks looks 2.4 standard errors hot by chance; less than that is no gain. */
    static constexpr double NoiseStandardErrors = 2.4;
    /** Fixed price of a switch in seconds: the records, the messages and one step's pause. */
    static constexpr std::chrono::duration<double> SwitchCost{0.25};

    /** The improved placement once it has paid for itself, else nothing. At once when a rank with experts has left. */
    std::optional<std::vector<LayerPlacement>> decide(const RebalanceInput &input);

    /** What the present map has cost beyond the better one since the last switch, in weighted seconds. */
    double regret() const;

private:
    double m_regret = 0;
};

/** All policies; the experiment runs them on the same traces. */
using RebalancePolicy = std::variant<NeverRebalance, PeriodicRebalance, RegretRebalance>;

/** Asks @p policy for a placement to go to; nothing keeps the present one. */
std::optional<std::vector<LayerPlacement>> decide(RebalancePolicy &policy, const RebalanceInput &input);

} // namespace Heatherridge
