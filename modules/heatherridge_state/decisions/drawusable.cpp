#include "heatherridge_state/decisions/drawusable.h"

namespace Heatherridge
{

std::optional<std::size_t> drawUsable(std::span<const TargetView> targets, RandomSource &random)
{
    if (targets.empty()) {
        return std::nullopt;
    }
    const std::size_t first = random.below(targets.size());
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const std::size_t index = (first + step) % targets.size();
        if (targets[index].usable) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace Heatherridge
