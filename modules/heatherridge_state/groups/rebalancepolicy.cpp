#include "heatherridge_state/groups/rebalancepolicy.h"

#include "heatherridge_state/groups/greedyplacement.h"
#include "heatherridge_state/groups/hierarchicalplacement.h"
#include "heatherridge_state/groups/replicatedplacement.h"
#include "heatherridge_state/groups/stageplan.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Lower limit of the weights, so that a weight of zero makes no cost infinite or zero; at the limit, the other weight
 * alone decides. */
constexpr double MinWeight = 1e-3;

bool usesOnlyRanksWithSlots(const GroupProblem &problem, const std::vector<LayerPlacement> &layers)
{
    for (const auto &layer : layers) {
        for (const auto &slot : layer) {
            if (slot.rank >= problem.shape.slots.size() || problem.shape.slots[slot.rank] == 0) {
                return false;
            }
        }
    }
    return !layers.empty();
}

} // namespace

std::optional<std::vector<LayerPlacement>> NeverRebalance::decide(const RebalanceInput & /*input*/)
{
    return std::nullopt;
}

std::optional<std::vector<LayerPlacement>> baselinePlacement(BaselinePlacement method, const GroupProblem &problem)
{
    std::vector<LayerPlacement> layers;
    for (const auto &layer : problem.layers) {
        std::optional<LayerPlacement> placement;
        switch (method) {
        case BaselinePlacement::Greedy:
            placement = greedyPlacement(layer);
            break;
        case BaselinePlacement::Replicated:
            placement = replicatedPlacement(layer);
            break;
        case BaselinePlacement::Hierarchical:
            placement = hierarchicalPlacement(layer, problem.shape.locations);
            break;
        }
        if (!placement) {
            return std::nullopt;
        }
        layers.push_back(std::move(*placement));
    }
    return layers;
}

std::optional<std::vector<LayerPlacement>> PeriodicRebalance::decide(const RebalanceInput &input)
{
    elapsed += input.sinceLastCall;
    if (elapsed < period) {
        return std::nullopt;
    }
    elapsed = {};
    auto layers = baselinePlacement(method, input.problem);
    if (!layers || *layers == input.current) {
        return std::nullopt;
    }
    return layers;
}

std::optional<std::vector<LayerPlacement>> RegretRebalance::decide(const RebalanceInput &input)
{
    const double skewWeight = std::max(input.weights.skew, MinWeight);
    const double costWeight = std::max(input.weights.cost, MinWeight);
    const double secondsPerExpert = static_cast<double>(input.problem.shape.expertBytes) / input.storeBytesPerSecond;
    const double currentExcessTime = excessTimeRatio(input.problem, input.current);
    // While weights are loading, the current map stays active and causes its excess time: with a sudden hot expert, a
    // small change that is active soon is better than an optimal one that takes minutes; the rest follows later.
    const double costWhileLoading = costWeight + skewWeight * currentExcessTime;
    const double penalty =
        secondsPerExpert * costWhileLoading * input.problem.shape.layers / (PaybackPeriod.count() * skewWeight);
    auto improved = improvePlacement(input.problem, input.current, {.penaltyPerExpert = penalty});
    auto *layers = std::get_if<std::vector<LayerPlacement>>(&improved);
    if (layers == nullptr) {
        return std::nullopt;
    }
    if (!usesOnlyRanksWithSlots(input.problem, input.current)) {
        m_regret = 0;
        return std::move(*layers);
    }
    const double gain =
        currentExcessTime - excessTimeRatio(input.problem, *layers) - NoiseStandardErrors * input.relativeError;
    m_regret = std::max(0.0, m_regret + gain * skewWeight * input.sinceLastCall.count());
    const auto bytes = static_cast<double>(bytesToMove(input.problem.shape, input.current, *layers));
    const double cost = costWeight * (bytes / input.storeBytesPerSecond + SwitchCost.count());
    if (gain <= 0 || m_regret < cost) {
        return std::nullopt;
    }
    m_regret = 0;
    return std::move(*layers);
}

double RegretRebalance::regret() const
{
    return m_regret;
}

std::optional<std::vector<LayerPlacement>> decide(RebalancePolicy &policy, const RebalanceInput &input)
{
    return std::visit([&input](auto &concretePolicy) { return concretePolicy.decide(input); }, policy);
}

} // namespace Heatherridge
