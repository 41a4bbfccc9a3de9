#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/decisions/costplacement.h"
#include "heatherridge_state/decisions/hashplacement.h"
#include "heatherridge_state/decisions/leastrequestsplacement.h"
#include "heatherridge_state/decisions/roundrobinplacement.h"
#include "heatherridge_state/decisions/twochoicesplacement.h"

#include <variant>

namespace Heatherridge
{

/**
 * The entry's choice of a target, by the policy that the rule set names.
 *
 * Holds one of the policies and adds what holds for all: a target under probation gets one idempotent request at a
 * time, drawn with ProbeProbability, so that its recovery is seen without risking a booking; without any usable target
 * the request is refused as not run, since entries never queue. One thread.
 */
class Placement
{
public:
    /** At 10 requests a second a recovered target is found within about 3 s, at a cost of 3% of requests at most. */
    static constexpr double ProbeProbability = 1.0 / 32;
    /** When a caller without any target should ask again: inventory and health change within seconds. */
    static constexpr std::chrono::milliseconds NoTargetRetryDelay{1000};

    /** Chooses by @p rules. */
    explicit Placement(const PlacementRules &rules);

    /**
     * The index in @p targets to send to; NoTarget when none is usable.
     * @param targets what is known of each candidate; the caller keeps it
     */
    Result<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits, RandomSource &random);

private:
    using Policy =
        std::variant<CostPlacement, RoundRobinPlacement, LeastRequestsPlacement, TwoChoicesPlacement, HashPlacement>;

    static Policy policyFor(const PlacementRules &rules);

    Policy m_policy;
};

} // namespace Heatherridge
