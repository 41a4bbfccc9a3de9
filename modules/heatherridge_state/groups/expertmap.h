#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/groups/groupshape.h"

#include <cstdint>
#include <vector>

namespace Heatherridge
{

/** Number of one expert map of a group; 0 means "none". A number names one placement for ever. */
enum class MapNumber : std::uint64_t {};

/** The number as such. */
constexpr std::uint64_t toNumber(MapNumber number)
{
    return static_cast<std::uint64_t>(number);
}

/** One expert's weights on one rank, and which part of the expert's tokens go there. */
struct ExpertSlot
{
    /** The shares of all replicas of an expert add up to this. */
    static constexpr int WholeShare = 4096;

    std::uint16_t expert = 0;
    std::uint16_t rank = 0;
    std::uint16_t share = WholeShare; ///< in units of 1/WholeShare

    auto operator<=>(const ExpertSlot &) const = default;
    bool operator==(const ExpertSlot &) const = default;
};

/** The placement of one layer, ordered by expert, then rank. */
using LayerPlacement = std::vector<ExpertSlot>;

/**
 * A numbered placement of experts on the ranks of a group: for each layer, which ranks hold which experts and how an
 * expert's tokens are divided among its replicas.
 *
 * Immutable; safe to read from any thread. Built through create(), which refuses what no engine could execute.
 */
class ExpertMap
{
public:
    /** The map without placement, number 0. */
    ExpertMap() = default;

    /**
     * Checks @p layers against @p shape: every expert of every layer has a replica, shares add up, no rank holds more
     * than fits or one expert twice, order as LayerPlacement says.
     * @returns the map, or an error of kind BadRequest that names the first fault
     */
    static Result<ExpertMap> create(MapNumber number, const GroupShape &shape, std::vector<LayerPlacement> layers);

    /** This map's number. */
    MapNumber number() const;

    /** All layers in order. */
    const std::vector<LayerPlacement> &layers() const;

    /** How many experts, over all layers, @p rank holds. */
    std::size_t expertCountOn(int rank) const;

    /** The same placement under another number, as a new leader proposes it. */
    ExpertMap renumbered(MapNumber number) const;

    bool operator==(const ExpertMap &) const = default;

private:
    MapNumber m_number{};
    std::vector<LayerPlacement> m_layers;
};

/** How many experts of one layer @p to has on ranks where @p from lacks them: what must be loaded to switch. */
std::size_t expertsToLoad(const LayerPlacement &from, const LayerPlacement &to);

/** Bytes that all ranks together must load to go from @p from to @p to. Changes of shares alone load nothing. */
std::uint64_t bytesToMove(const GroupShape &shape, const ExpertMap &from, const ExpertMap &to);

} // namespace Heatherridge
