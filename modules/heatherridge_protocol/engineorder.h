#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/groups/groupepoch.h"
#include "heatherridge_state/groups/popularityestimator.h"

#include <optional>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** The first step that a rank's engine must not start. */
struct StepLimit
{
    MapNumber map{}; ///< the map switch that set the limit
    StepNumber bound{}; ///< first step that the engine does not start

    bool operator==(const StepLimit &) const = default;
};

/** A map that takes effect at a future step. */
struct ScheduledMap
{
    MapNumber map{};
    StepNumber from{};

    bool operator==(const ScheduledMap &) const = default;
};

/** Dimensions of the model that a group serves. */
struct GroupModel
{
    int layers = 0;
    int experts = 0; ///< number per layer
    std::uint64_t expertBytes = 0;

    bool operator==(const GroupModel &) const = default;
};

/** State of a rank's engine, returned in reply to every order. */
struct EngineState
{
    Incarnation run{}; ///< current run of the engine
    Incarnation gateRun{}; ///< run of the gate whose orders the engine accepts; 0 if it does not check orders
    EpochNumber epoch{}; ///< 0 if the engine is in no epoch
    std::vector<int> ranks{}; ///< the ranks of that epoch
    StepNumber next{}; ///< first step that has not been started
    MapNumber map{}; ///< map of the step `next`, unless another one is scheduled for that step
    StepNumber mapSince{}; ///< first step that used `map`
    std::optional<StepLimit> limit{};
    std::optional<ScheduledMap> scheduled{};
    std::vector<MapNumber> loaded{}; ///< maps whose weights are completely loaded
    MapNumber failed{}; ///< last map whose weights could not be loaded
    GroupModel model{};
    std::optional<RankReport> load{}; ///< load of the last complete measurement window

    bool operator==(const EngineState &) const = default;
};

/** Requests the engine's state without changing it. */
struct PollEngine
{
    bool operator==(const PollEngine &) const = default;
};

/** Loads the weights of a map in addition to those in use. */
struct LoadWeights
{
    ExpertMap map{};

    bool operator==(const LoadWeights &) const = default;
};

/** Unloads the weights of a map that is not in use. */
struct DropWeights
{
    MapNumber map{};

    bool operator==(const DropWeights &) const = default;
};

/**
 * Prevents the engine from starting the step `bound` or any later one.
 *
 * Has no effect if that step has been started, another limit is set, the map's weights are not loaded, the map is in
 * use or scheduled, its number is below that of the map in use (a delayed order), or the engine is in another epoch. If
 * the order is repeated for the same map, the first bound remains in effect.
 */
struct LimitSteps
{
    EpochNumber epoch{};
    MapNumber map{};
    StepNumber bound{};

    bool operator==(const LimitSteps &) const = default;
};

/** Schedules a loaded map from a step onwards and removes the limit set for it. Has no effect in another epoch or if
 * the map's number is not above that of the map in use. */
struct ScheduleMap
{
    EpochNumber epoch{};
    MapNumber map{};
    StepNumber from{};

    bool operator==(const ScheduleMap &) const = default;
};

/** Removes the limit set for this map, if there is one. */
struct LiftLimit
{
    MapNumber map{};

    bool operator==(const LiftLimit &) const = default;
};

/** Leaves the current epoch and enters the given one at its step 0. Has no effect if the epoch's number is not above
 * the current one or its map is not loaded. */
struct EnterEpoch
{
    GroupEpoch epoch{};

    bool operator==(const EnterEpoch &) const = default;
};

/** Leaves the current epoch; this rank is not a member of the epoch with the given number. */
struct LeaveEpoch
{
    EpochNumber successor{};

    bool operator==(const LeaveEpoch &) const = default;
};

/**
 * All orders from a gate to its engine. Each is idempotent, because the reply can be lost.
 *
 * An order sent by a terminated run of the gate must not take effect after the next run has read the engine's state:
 * the next run may have rejected a switch because no limit was set, and a later run would mistake the delayed limit for
 * a vote. An engine that checks orders ensures this by the gate run in each order: the first order from an unknown run
 * invalidates all earlier runs. (A delayed first order invalidates a live run; that gate then restarts, see
 * RankGate::isReplaced(). This is harmless, because the first order of a run is a poll.) An engine that ignores the run
 * must execute orders in order of arrival; on a single host, they arrive before the first order of the next run.
 */
using EngineOrder =
    std::variant<PollEngine, LoadWeights, DropWeights, LimitSteps, ScheduleMap, LiftLimit, EnterEpoch, LeaveEpoch>;

/** The body of a request to the engine: an order and the run of the gate that sends it. */
struct EngineOrderRequest
{
    Incarnation run{};
    EngineOrder order{};
};

/** Encodes @p order as CBOR. */
Bytes encode(const EngineOrderRequest &order);

/** Decodes an order. Invalid or hostile input yields MalformedFrame. */
Result<EngineOrderRequest> decodeEngineOrderRequest(const Bytes &bytes);

/** Encodes @p state as CBOR. */
Bytes encode(const EngineState &state);

/** Decodes a state. Invalid or hostile input yields MalformedFrame. */
Result<EngineState> decodeEngineState(const Bytes &bytes);

/** Returns the number of the map to which @p order refers, or 0 if it refers to none. */
MapNumber mapOf(const EngineOrder &order);

} // namespace Heatherridge
