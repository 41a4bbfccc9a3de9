#include "heatherridge_state/decisions/twochoicesplacement.h"

#include "heatherridge_state/decisions/drawusable.h"

namespace Heatherridge
{

std::optional<std::size_t> TwoChoicesPlacement::choose(std::span<const TargetView> targets, const RequestTraits &,
                                                       RandomSource &random) const
{
    const auto first = drawUsable(targets, random);
    const auto second = drawUsable(targets, random);
    if (!first || !second) {
        return std::nullopt;
    }
    const auto load = [&](std::size_t index) {
        const auto &target = targets[index];
        return target.reportedLoad - target.ownAtReport + target.ownLoad;
    };
    return load(*second) < load(*first) ? second : first;
}

} // namespace Heatherridge
