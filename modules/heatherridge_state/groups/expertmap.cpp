#include "heatherridge_state/groups/expertmap.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

Error invalid(std::size_t layer, const std::string &reason)
{
    return Error{.kind = ErrorKind::BadRequest, .detail = "expert map, layer " + std::to_string(layer) + ": " + reason};
}

bool isSameSlot(const ExpertSlot &left, const ExpertSlot &right)
{
    return left.expert == right.expert && left.rank == right.rank;
}

bool slotPrecedes(const ExpertSlot &left, const ExpertSlot &right)
{
    return left.expert != right.expert ? left.expert < right.expert : left.rank < right.rank;
}

Outcome checkLayer(std::size_t layer, const GroupShape &shape, const LayerPlacement &placement)
{
    std::vector<int> usedSlots(shape.slots.size(), 0);
    std::vector<int> shareSums(static_cast<std::size_t>(shape.experts), 0);
    std::vector<bool> isPlaced(static_cast<std::size_t>(shape.experts), false);
    for (std::size_t i = 0; i < placement.size(); ++i) {
        const auto &slot = placement[i];
        if (slot.expert >= shape.experts || slot.rank >= shape.ranks()) {
            return invalid(layer, "expert or rank out of range");
        }
        if (i > 0 && !slotPrecedes(placement[i - 1], slot)) {
            return invalid(layer, "not ordered, or an expert is twice on one rank");
        }
        if (++usedSlots[slot.rank] > shape.slots[slot.rank]) {
            return invalid(layer, "more experts than slots on rank " + std::to_string(slot.rank));
        }
        shareSums[slot.expert] += slot.share;
        isPlaced[slot.expert] = true;
    }
    for (int expert = 0; expert < shape.experts; ++expert) {
        if (!isPlaced[expert] || shareSums[expert] != ExpertSlot::WholeShare) {
            return invalid(layer, "shares of expert " + std::to_string(expert) + " do not add up");
        }
    }
    return {};
}

} // namespace

Result<ExpertMap> ExpertMap::create(MapNumber number, const GroupShape &shape, std::vector<LayerPlacement> layers)
{
    if (layers.size() != static_cast<std::size_t>(shape.layers)) {
        return invalid(layers.size(), "wrong number of layers");
    }
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const auto outcome = checkLayer(layer, shape, layers[layer]);
        if (const auto *error = errorIn(outcome)) {
            return *error;
        }
    }
    ExpertMap map;
    map.m_number = number;
    map.m_layers = std::move(layers);
    return map;
}

MapNumber ExpertMap::number() const
{
    return m_number;
}

const std::vector<LayerPlacement> &ExpertMap::layers() const
{
    return m_layers;
}

std::size_t ExpertMap::expertCountOn(int rank) const
{
    std::size_t count = 0;
    for (const auto &layer : m_layers) {
        count += static_cast<std::size_t>(
            std::count_if(layer.begin(), layer.end(), [rank](const auto &slot) { return slot.rank == rank; }));
    }
    return count;
}

ExpertMap ExpertMap::renumbered(MapNumber number) const
{
    ExpertMap copy = *this;
    copy.m_number = number;
    return copy;
}

std::size_t expertsToLoad(const LayerPlacement &from, const LayerPlacement &to)
{
    std::size_t count = 0;
    auto fromSlot = from.begin();
    for (const auto &slot : to) {
        while (fromSlot != from.end() && slotPrecedes(*fromSlot, slot)) {
            ++fromSlot;
        }
        count += fromSlot == from.end() || !isSameSlot(*fromSlot, slot) ? 1 : 0;
    }
    return count;
}

std::uint64_t bytesToMove(const GroupShape &shape, const ExpertMap &from, const ExpertMap &to)
{
    static const LayerPlacement NoPlacement;
    std::uint64_t experts = 0;
    for (std::size_t layer = 0; layer < to.layers().size(); ++layer) {
        experts += expertsToLoad(layer < from.layers().size() ? from.layers()[layer] : NoPlacement, to.layers()[layer]);
    }
    return experts * shape.expertBytes;
}

} // namespace Heatherridge
