#include "heatherridge_state/decisions/leastrequestsplacement.h"

#include "heatherridge_state/decisions/drawusable.h"

namespace Heatherridge
{

std::optional<std::size_t> LeastRequestsPlacement::choose(std::span<const TargetView> targets, const RequestTraits &,
                                                          RandomSource &random) const
{
    const auto first = drawUsable(targets, random);
    auto best = first;
    for (std::size_t step = 0; best && step < targets.size(); ++step) {
        // Starts at a random index so that ties are broken at random; otherwise the first target in the list would win
        // all of them.
        const std::size_t index = (*first + step) % targets.size();
        if (targets[index].usable && targets[index].ownInFlight < targets[*best].ownInFlight) {
            best = index;
        }
    }
    return best;
}

} // namespace Heatherridge
