#include "heatherridge_state/groups/stageplan.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

struct LayerChange
{
    std::size_t layer = 0;
    std::uint64_t bytes = 0;
    double gainPerByte = 0;
};

} // namespace

std::uint64_t bytesToMove(const GroupShape &shape, const std::vector<LayerPlacement> &from,
                          const std::vector<LayerPlacement> &to)
{
    std::uint64_t experts = 0;
    for (std::size_t layer = 0; layer < to.size(); ++layer) {
        experts += expertsToLoad(from[layer], to[layer]);
    }
    return experts * shape.expertBytes;
}

std::vector<LayerPlacement> nextStage(const GroupProblem &problem, const std::vector<LayerPlacement> &current,
                                      const std::vector<LayerPlacement> &desired, std::uint64_t byteBudget)
{
    auto stage = current;
    std::vector<LayerChange> changes;
    for (std::size_t layer = 0; layer < desired.size(); ++layer) {
        const std::uint64_t bytes = expertsToLoad(current[layer], desired[layer]) * problem.shape.expertBytes;
        if (bytes == 0) {
            stage[layer] = desired[layer];
            continue;
        }
        const double timeBefore = balanceOf(problem.layers[layer], current[layer]).slowest;
        const double timeAfter = balanceOf(problem.layers[layer], desired[layer]).slowest;
        changes.push_back(
            {.layer = layer, .bytes = bytes, .gainPerByte = (timeBefore - timeAfter) / static_cast<double>(bytes)});
    }
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto &a, const auto &b) { return a.gainPerByte > b.gainPerByte; });
    std::uint64_t usedBytes = 0;
    for (const auto &change : changes) {
        if (usedBytes == 0 || usedBytes + change.bytes <= byteBudget) {
            stage[change.layer] = desired[change.layer];
            usedBytes += change.bytes;
        }
    }
    return stage;
}

} // namespace Heatherridge
