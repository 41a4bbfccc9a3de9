#include "heatherridge_state/groups/stageplan.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

struct LayerStep
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
                                      const std::vector<LayerPlacement> &wanted, std::uint64_t budget)
{
    auto stage = current;
    std::vector<LayerStep> steps;
    for (std::size_t layer = 0; layer < wanted.size(); ++layer) {
        const std::uint64_t bytes = expertsToLoad(current[layer], wanted[layer]) * problem.shape.expertBytes;
        if (bytes == 0) {
            stage[layer] = wanted[layer];
            continue;
        }
        const double before = balanceOf(problem.layers[layer], current[layer]).slowest;
        const double after = balanceOf(problem.layers[layer], wanted[layer]).slowest;
        steps.push_back({.layer = layer, .bytes = bytes, .gainPerByte = (before - after) / static_cast<double>(bytes)});
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const auto &a, const auto &b) { return a.gainPerByte > b.gainPerByte; });
    std::uint64_t used = 0;
    for (const auto &step : steps) {
        if (used == 0 || used + step.bytes <= budget) {
            stage[step.layer] = wanted[step.layer];
            used += step.bytes;
        }
    }
    return stage;
}

} // namespace Heatherridge
