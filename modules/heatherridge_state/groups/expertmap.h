#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/groups/groupshape.h"

#include <cstdint>
#include <vector>

namespace Heatherridge
{

/** Number of an expert map of a group; 0 means "none". A number identifies the same placement for ever. */
enum class MapNumber : std::uint64_t {};

/** Returns the underlying number. */
constexpr std::uint64_t toNumber(MapNumber number)
{
    return static_cast<std::uint64_t>(number);
}

/** The weights of one expert on one rank, and the share of the expert's tokens that is sent there. */
struct ExpertSlot
{
    /** Sum of the shares of all replicas of an expert. */
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
 * Immutable; safe to read from any thread. Created by create(), which rejects placements that no engine could execute.
 */
class ExpertMap
{
public:
    /** Creates the map without placement, number 0. */
    ExpertMap() = default;

    /**
     * Validates @p layers against @p shape: every expert of every layer has a replica, the shares add up to WholeShare,
     * no rank exceeds its slots or holds an expert twice, and the order is that of LayerPlacement.
     * @returns the map, or an error of kind BadRequest that describes the first violation
     */
    static Result<ExpertMap> create(MapNumber number, const GroupShape &shape, std::vector<LayerPlacement> layers);

    /** Returns the number of this map. */
    MapNumber number() const;

    /** Returns the placements of all layers, in order. */
    const std::vector<LayerPlacement> &layers() const;

    /** Returns the number of experts that @p rank holds, over all layers. */
    std::size_t expertCountOn(int rank) const;

    /** Returns the same placement with another number, for a new leader that proposes it again. */
    ExpertMap renumbered(MapNumber number) const;

    bool operator==(const ExpertMap &) const = default;

private:
    MapNumber m_number{};
    std::vector<LayerPlacement> m_layers;
};

/** Returns how many experts of one layer @p to has on ranks where @p from lacks them: the number of experts to load for
 * the switch. */
std::size_t expertsToLoad(const LayerPlacement &from, const LayerPlacement &to);

/** Returns the bytes that all ranks together must load to switch from @p from to @p to. Changing only shares loads
 * nothing. */
std::uint64_t bytesToMove(const GroupShape &shape, const ExpertMap &from, const ExpertMap &to);

} // namespace Heatherridge
