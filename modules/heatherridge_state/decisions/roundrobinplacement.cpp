#include "heatherridge_state/decisions/roundrobinplacement.h"

namespace Heatherridge
{

std::optional<std::size_t> RoundRobinPlacement::choose(std::span<const TargetView> targets, const RequestTraits &,
                                                       RandomSource &)
{
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const std::size_t index = (m_next + step) % targets.size();
        if (targets[index].usable) {
            m_next = index + 1;
            return index;
        }
    }
    return std::nullopt;
}

} // namespace Heatherridge
