#include "heatherridge_state/decisions/placement.h"

namespace Heatherridge
{

namespace
{

std::optional<std::size_t> drawProbeTarget(std::span<const TargetView> targets, const RequestTraits &traits,
                                           RandomSource &random)
{
    if (!traits.mayProbe) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (targets[index].awaitsProbe && targets[index].ownInFlight == 0
            && random.fraction() < Placement::ProbeProbability) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace

Placement::Placement(const PlacementRules &rules)
    : m_policy(policyFor(rules))
{
}

Result<std::size_t> Placement::choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                      RandomSource &random)
{
    if (const auto probe = drawProbeTarget(targets, traits, random)) {
        return *probe;
    }
    const auto chosen = std::visit([&](auto &policy) { return policy.choose(targets, traits, random); }, m_policy);
    if (!chosen) {
        return Error{.kind = ErrorKind::NoTarget, .ran = ExecutionStatus::No, .retryAfter = NoTargetRetryDelay};
    }
    return *chosen;
}

Placement::Policy Placement::policyFor(const PlacementRules &rules)
{
    return std::visit(Visitor{
                          [](const CostPlacementOptions &options) -> Policy { return CostPlacement(options); },
                          [](const RoundRobinOptions &) -> Policy { return RoundRobinPlacement(); },
                          [](const LeastRequestsOptions &) -> Policy { return LeastRequestsPlacement(); },
                          [](const TwoChoicesOptions &) -> Policy { return TwoChoicesPlacement(); },
                          [](const HashOptions &) -> Policy { return HashPlacement(); },
                      },
                      rules);
}

} // namespace Heatherridge
