#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/groups/groupepoch.h"
#include "heatherridge_state/groups/popularityestimator.h"

#include <optional>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Leader to gate: load the weights of this map in addition to those in use. */
struct LoadMap
{
    FencingNumber leader{};
    EpochNumber epoch{}; ///< epoch that the leader considers current
    /** The addressed run of the gate. A later run must not accept a proposal that an earlier run may have rejected. */
    Incarnation addressee{};
    bool startsEpoch =
        false; ///< true: the map is for the first step of the next epoch; false: for a switch within the current epoch
    ExpertMap map{};

    bool operator==(const LoadMap &) const = default;
};

/** Gate to leader: the weights are loaded, or cannot be loaded. This is not a commitment. */
struct MapReady
{
    int rank = 0;
    MapNumber map{};
    bool loaded = false;

    bool operator==(const MapReady &) const = default;
};

/** Leader to gate: all ranks are ready; requests a vote. */
struct VoteRequest
{
    FencingNumber leader{};
    EpochNumber epoch{};
    MapNumber map{};

    bool operator==(const VoteRequest &) const = default;
};

/** Leader to gate: the switch is cancelled; gates that have not voted yet vote against it. */
struct CancelMap
{
    FencingNumber leader{};
    EpochNumber epoch{};
    MapNumber map{};

    bool operator==(const CancelMap &) const = default;
};

/** One rank's vote on a map switch. A vote is final. */
struct Vote
{
    int rank = 0;
    bool agreed = false;
    StepNumber bound{}; ///< if agreed: the rank starts neither this step nor a later one before it knows the outcome

    bool operator==(const Vote &) const = default;
};

/** Between any two members: the known votes on a map switch. Lists contain facts only, so they can be merged in any
 * order. */
struct VoteList
{
    EpochNumber epoch{};
    MapNumber map{};
    std::vector<Vote> votes{};
    std::optional<StepNumber> committedAt{}; ///< step of the switch, if the sender's engine has scheduled it

    bool operator==(const VoteList &) const = default;
};

/** Between any two members: an epoch that is recorded in the group's stream. */
struct EpochAnnouncement
{
    GroupEpoch epoch{};

    bool operator==(const EpochAnnouncement &) const = default;
};

/** Gate to leader, periodically: the state of the rank. */
struct RankStatus
{
    int rank = 0;
    Incarnation engine{};
    EpochNumber epoch{};
    MapNumber map{}; ///< map of the next step
    StepNumber step{}; ///< the next step
    MapNumber pending{}; ///< map of a switch that is agreed or scheduled but not yet in use; 0 if there is none

    bool operator==(const RankStatus &) const = default;
};

/** New leader to gate: announces the leader's fencing number and requests the rank's status. */
struct StatusRequest
{
    FencingNumber leader{};

    bool operator==(const StatusRequest &) const = default;
};

/** Gate to leader: the rank's measurements of one window. */
struct RankLoadReport
{
    RankReport report{};

    bool operator==(const RankLoadReport &) const = default;
};

/** All messages within a group. */
using GroupMessage = std::variant<LoadMap, MapReady, VoteRequest, CancelMap, VoteList, EpochAnnouncement, RankStatus,
                                  StatusRequest, RankLoadReport>;

/** A message with the group to which it belongs. */
struct GroupFrame
{
    GroupName group{};
    GroupMessage message{};
};

/** Encodes @p frame as the payload of an envelope on Channel::Group. */
Bytes encode(const GroupFrame &frame);

/** Decodes a payload. Invalid or hostile input yields MalformedFrame. */
Result<GroupFrame> decodeGroupFrame(const Bytes &payload);

} // namespace Heatherridge
