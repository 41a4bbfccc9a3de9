#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/groups/groupepoch.h"
#include "heatherridge_state/groups/popularityestimator.h"

#include <optional>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** A step that a rank's engine will not start. */
struct StepLimit
{
    MapNumber map{}; ///< the switch for which it stands
    StepNumber bound{}; ///< the first step that is not started

    bool operator==(const StepLimit &) const = default;
};

/** A map that takes effect at a step to come. */
struct ScheduledMap
{
    MapNumber map{};
    StepNumber from{};

    bool operator==(const ScheduledMap &) const = default;
};

/** The sizes of the model that a group serves. */
struct GroupModel
{
    int layers = 0;
    int experts = 0; ///< in each layer
    std::uint64_t expertBytes = 0;

    bool operator==(const GroupModel &) const = default;
};

/** What a rank's engine says of itself, in reply to every order. */
struct EngineState
{
    Incarnation run{}; ///< of the engine
    Incarnation gateRun{}; ///< the run of the gate whose orders it follows; 0 when it doesn't check
    EpochNumber epoch{}; ///< 0 when it is in none
    std::vector<int> ranks{}; ///< of that epoch
    StepNumber next{}; ///< the first step it has not started
    MapNumber map{}; ///< of the step `next`, unless one is scheduled for it
    StepNumber mapSince{}; ///< the step from which `map` has been in use
    std::optional<StepLimit> limit{};
    std::optional<ScheduledMap> scheduled{};
    std::vector<MapNumber> loaded{}; ///< maps whose weights are all there
    MapNumber failed{}; ///< the last map whose weights could not be loaded
    GroupModel model{};
    std::optional<RankReport> load{}; ///< of the last whole window

    bool operator==(const EngineState &) const = default;
};

/** Say how you are. */
struct PollEngine
{
    bool operator==(const PollEngine &) const = default;
};

/** Load the weights of a map beside those in use. */
struct LoadWeights
{
    ExpertMap map{};

    bool operator==(const LoadWeights &) const = default;
};

/** Forget the weights of a map that is not in use. */
struct DropWeights
{
    MapNumber map{};

    bool operator==(const DropWeights &) const = default;
};

/**
 * Start no step from `bound` on. Without effect when that step has been started, when another limit stands, when the
 * map's weights are not loaded, when it is in use or scheduled or its number is below that of the one in use (the order
 * comes late), or in another epoch; repeated for one map, the first bound stays.
 */
struct LimitSteps
{
    EpochNumber epoch{};
    MapNumber map{};
    StepNumber bound{};

    bool operator==(const LimitSteps &) const = default;
};

/** Use a loaded map from a step on, and lift the limit that stands for it. Without effect in another epoch, and for a
 * map whose number is not above that of the one in use. */
struct ScheduleMap
{
    EpochNumber epoch{};
    MapNumber map{};
    StepNumber from{};

    bool operator==(const ScheduleMap &) const = default;
};

/** Lift the limit that stands for this map, if any. */
struct LiftLimit
{
    MapNumber map{};

    bool operator==(const LiftLimit &) const = default;
};

/** Leave the present epoch and enter this one at its step 0. Without effect for an epoch not above the present one, and
 * before its map is loaded. */
struct EnterEpoch
{
    GroupEpoch epoch{};

    bool operator==(const EnterEpoch &) const = default;
};

/** Leave the present epoch; this rank is not in the one with this number. */
struct LeaveEpoch
{
    EpochNumber successor{};

    bool operator==(const LeaveEpoch &) const = default;
};

/**
 * All orders from a gate to its engine. Each is idempotent, since the reply to it can be lost.
 *
 * An order that a dead run of the gate had sent must not take effect after the next run has read the engine's state:
 * the next run may have refused a switch because no limit stood, and a later run would take the late limit for a vote.
 * An engine that checks orders sees to it by the run that each order carries: the first order of a run unknown to it
 * ends the ones before. (A first order that comes late ends a living run; that gate then starts anew, see
 * RankGate::isReplaced(). No harm is done, since a run's first order is a poll.) One that ignores the number must
 * follow orders as they arrive, which on one host they do before the next run's first.
 */
using EngineOrder =
    std::variant<PollEngine, LoadWeights, DropWeights, LimitSteps, ScheduleMap, LiftLimit, EnterEpoch, LeaveEpoch>;

/** An order and the run of the gate that gives it, as the body of a request to the engine. */
struct EngineOrderRequest
{
    Incarnation run{};
    EngineOrder order{};
};

/** The CBOR of @p order. */
Bytes encode(const EngineOrderRequest &order);

/** Reads an order. Hostile input yields MalformedFrame. */
Result<EngineOrderRequest> decodeEngineOrderRequest(const Bytes &bytes);

/** The CBOR of @p state. */
Bytes encode(const EngineState &state);

/** Reads a state. Hostile input yields MalformedFrame. */
Result<EngineState> decodeEngineState(const Bytes &bytes);

/** The map that @p order is about, or 0. */
MapNumber mapOf(const EngineOrder &order);

} // namespace Heatherridge
