#include "heatherridge_state/decisions/hashplacement.h"

#include "heatherridge_state/decisions/drawusable.h"

namespace Heatherridge
{

std::optional<std::size_t> HashPlacement::choose(std::span<const TargetView> targets, const RequestTraits &traits,
                                                 RandomSource &random) const
{
    if (traits.affinityKey == 0) {
        return drawUsable(targets, random);
    }
    std::optional<std::size_t> chosen;
    std::uint64_t highestHash = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const std::uint64_t hash = rendezvousHash(targets[index].key, traits.affinityKey);
        if (targets[index].usable && (!chosen || hash > highestHash)) {
            chosen = index;
            highestHash = hash;
        }
    }
    return chosen;
}

} // namespace Heatherridge
