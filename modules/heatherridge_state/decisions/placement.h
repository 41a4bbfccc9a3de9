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
 * Chooses a target for each request of an entry, by the policy that the rule set names.
 *
 * Holds one of the policies and adds the rules common to all. A target being probed receives one idempotent request at
 * a time, drawn with ProbeProbability, so that its recovery is detected without risking a booking. When no target is
 * usable the request is refused as not run, since entries never queue. Single-threaded.
 */
class Placement
{
public:
    /**
     * At 10 requests per second a recovered target is detected within about 3 s, at a cost of at most 3% of requests.
     */
    static constexpr double ProbeProbability = 1.0 / 32;
    /** Suggested retry delay when there is no usable target: inventory and health change within seconds. */
    static constexpr std::chrono::milliseconds NoTargetRetryDelay{1000};

    /** Creates a placement that follows @p rules. */
    explicit Placement(const PlacementRules &rules);

    /**
     * Returns the index in @p targets of the target to send to, or NoTarget when none is usable.
     * @param targets what is known of each candidate; owned by the caller
     */
    Result<std::size_t> choose(std::span<const TargetView> targets, const RequestTraits &traits, RandomSource &random);

private:
    using Policy =
        std::variant<CostPlacement, RoundRobinPlacement, LeastRequestsPlacement, TwoChoicesPlacement, HashPlacement>;

    static Policy policyFor(const PlacementRules &rules);

    Policy m_policy;
};

} // namespace Heatherridge
