#include "heatherridge_state/decisions/subsetselection.h"

#include "heatherridge_state/decisions/targetview.h"

#include <algorithm>
#include <numeric>

namespace Heatherridge
{

std::vector<std::size_t> SubsetSelection::choose(std::span<const std::uint64_t> targetKeys,
                                                 const SubsetOptions &options)
{
    std::vector<std::size_t> order(targetKeys.size());
    std::iota(order.begin(), order.end(), 0);
    if (targetKeys.size() <= options.size || options.size == 0) {
        return order;
    }
    const std::size_t subsets = targetKeys.size() / options.size;
    const std::uint64_t round = options.entryIndex / subsets;
    std::vector<std::uint64_t> positions(targetKeys.size());
    std::transform(targetKeys.begin(), targetKeys.end(), positions.begin(),
                   [round](std::uint64_t key) { return rendezvousHash(key, round); });
    std::sort(order.begin(), order.end(),
              [&positions](std::size_t a, std::size_t b) { return positions[a] < positions[b]; });
    // Divides the targets into equal parts. The remainder is spread over the parts, so no target is left out.
    const std::size_t part = options.entryIndex % subsets;
    const auto first = order.begin() + static_cast<std::ptrdiff_t>(part * order.size() / subsets);
    const auto last = order.begin() + static_cast<std::ptrdiff_t>((part + 1) * order.size() / subsets);
    std::vector<std::size_t> subset(first, last);
    std::sort(subset.begin(), subset.end());
    return subset;
}

} // namespace Heatherridge
