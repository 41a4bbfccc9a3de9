#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/groups/expertlayout.h"
#include "heatherridge_state/groups/expertmap.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Status that a rank reports about itself. */
struct RankStatus
{
    GroupName group{}; ///< null when the target belongs to no group
    std::uint64_t epoch = 0; ///< epoch of the group; increases each time the group is formed again
    int rank = 0;
    int size = 0; ///< number of ranks in the group
    bool isOpen = false; ///< whether the group is operational
    std::uint64_t step = 0; ///< the last pass that was started
    MapNumber map{}; ///< map in use
    std::optional<MapNumber> prepared{}; ///< map that has been copied completely
    std::optional<MapNumber> armed{}; ///< map that becomes active at a scheduled pass
    std::optional<std::uint64_t> heldStep{}; ///< pass that the group must not start
    int running = 0; ///< running requests
    int waiting = 0; ///< waiting requests
    double slowdown = 1; ///< factor by which the rank takes longer than usual; 1 is normal
    /** Time since the active rebalancer last polled the counts from the process beside the rank; nothing when unknown.
     */
    std::optional<std::chrono::milliseconds> countsLastPolledAgo{};
    /** Maximum age of the status at the time of the query; engines answer remote queries with a report up to 200 ms
     * old. */
    std::chrono::milliseconds maxAge{250};
};

/** How often the requests of a rank selected each expert since the rank started. */
struct RankCounts
{
    std::uint64_t epoch = 0;
    std::vector<double> selectionCounts{}; ///< ordered by layer set, then expert
};

/** The experts on one rank. */
struct RankExperts
{
    MapNumber map{}; ///< map in use
    std::vector<std::vector<std::uint16_t>> bySet{}; ///< expert indices by layer set
};

/** Copies the experts that @p layout adds to this rank, for later use. */
struct PrepareMap
{
    MapNumber map{};
    ExpertLayout layout{};
};

/** Activates a prepared map from pass `step` on. */
struct ArmMap
{
    MapNumber map{};
    std::uint64_t step = 0;
};

/** Cancels an ArmMap. */
struct DisarmMap
{
    MapNumber map{};
};

/** Prevents the group from starting pass `step`. */
struct HoldStep
{
    std::uint64_t step = 0;
};

/** Cancels a HoldStep. */
struct ReleaseStep
{
    std::uint64_t step = 0;
};

/** An order to one rank. */
using RankOrder = std::variant<PrepareMap, ArmMap, DisarmMap, HoldStep, ReleaseStep>;

/** Result of sending an order once. */
enum class OrderReply {
    Accepted, ///< executed, started, or nothing to do
    Refused, ///< conflicts with the rank's state, or the group is in another epoch
    NoAnswer, ///< the order may have been executed, or be executed later or never
};

} // namespace Heatherridge
