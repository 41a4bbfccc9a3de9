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

/** What a rank says of itself. */
struct RankStatus
{
    GroupName group{}; ///< null when the target is in none
    std::uint64_t epoch = 0; ///< of the group; grows each time it forms anew
    int rank = 0;
    int size = 0; ///< ranks of the group
    bool isOpen = false; ///< the group works
    std::uint64_t step = 0; ///< the last pass that was begun
    MapNumber map{}; ///< in use
    std::optional<MapNumber> prepared{}; ///< copied in whole
    std::optional<MapNumber> armed{}; ///< to be used from some pass on
    std::optional<std::uint64_t> heldStep{}; ///< the group does not begin this pass
    int running = 0; ///< requests
    int waiting = 0; ///< requests
    double slowdown = 1; ///< over 1: the rank takes so many times as long as usual
    /** How long ago a keeper last asked the process beside the rank for its counts; nothing when nobody can tell. */
    std::optional<std::chrono::milliseconds> countsLastPolledAgo{};
    /** How old it may be at most when it was asked for; engines answer from afar with a report of 200 ms ago. */
    std::chrono::milliseconds maxAge{250};
};

/** How often a rank's requests chose each expert since it started. */
struct RankCounts
{
    std::uint64_t epoch = 0;
    std::vector<double> selectionCounts{}; ///< set by set
};

/** The experts on one rank. */
struct RankExperts
{
    MapNumber map{}; ///< in use
    std::vector<std::vector<std::uint16_t>> bySet{};
};

/** Copy what @p layout has new for this rank, to use it later. */
struct PrepareMap
{
    MapNumber map{};
    ExpertLayout layout{};
};

/** Use a prepared map from pass `step` on. */
struct ArmMap
{
    MapNumber map{};
    std::uint64_t step = 0;
};

/** Take back an ArmMap. */
struct DisarmMap
{
    MapNumber map{};
};

/** Don't let the group begin pass `step`. */
struct HoldStep
{
    std::uint64_t step = 0;
};

/** Take back a HoldStep. */
struct ReleaseStep
{
    std::uint64_t step = 0;
};

/** An order to one rank. */
using RankOrder = std::variant<PrepareMap, ArmMap, DisarmMap, HoldStep, ReleaseStep>;

/** What came of sending an order once. */
enum class OrderReply {
    Accepted, ///< carried out, begun, or nothing to do
    Refused, ///< does not fit the rank's state, or the group is in another epoch
    NoAnswer, ///< it may be carried out now, later or never
};

} // namespace Heatherridge
