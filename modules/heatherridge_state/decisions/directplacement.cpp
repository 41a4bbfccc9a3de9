#include "heatherridge_state/decisions/directplacement.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Range of the random jitter that decides among near-equals, in requests. */
constexpr double JitterWidth = 0.3;
/** Higher than any load: an ejected target is chosen only if there is no other, which is better than none. */
constexpr double LastResortPenalty = 1e6;

double scoreOf(const DirectCandidate &candidate, double meanSlots, RandomSource &random)
{
    const double slots = std::max(candidate.slots, 1);
    double score = candidate.load * meanSlots / slots + random.fraction() * JitterWidth;
    if (!candidate.isInOwnZone) {
        score += OtherZonePenalty;
    }
    if (candidate.isCold) {
        score += ColdSlotShare * slots;
    }
    if (candidate.health == Health::Ejected) {
        score += LastResortPenalty;
    }
    return score;
}

} // namespace

std::optional<std::size_t> placeDirectly(std::span<const DirectCandidate> candidates, RandomSource &random)
{
    double slots = 0;
    for (const auto &candidate : candidates) {
        slots += std::max(candidate.slots, 1);
    }
    const double meanSlots = candidates.empty() ? 1 : slots / static_cast<double>(candidates.size());
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (candidates[index].wasTried || candidates[index].isHeldBack) {
            continue;
        }
        const double score = scoreOf(candidates[index], meanSlots, random);
        if (!best || score < bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

} // namespace Heatherridge
