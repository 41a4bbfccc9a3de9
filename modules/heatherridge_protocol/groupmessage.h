#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/groups/groupepoch.h"
#include "heatherridge_state/groups/popularityestimator.h"

#include <optional>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Leader to gate: load the weights of this map beside those in use. */
struct LoadMap
{
    FencingNumber leader{};
    EpochNumber epoch{}; ///< the epoch the leader takes to be in force
    /** The run of the gate this is meant for. A later run must not take up a proposal that an earlier one may have
     * refused. */
    Incarnation addressee{};
    bool startsEpoch = false; ///< for the first step of an epoch to come, not for a switch of the present one
    ExpertMap map{};

    bool operator==(const LoadMap &) const = default;
};

/** Gate to leader: the weights are there, or can't be had. No promise. */
struct MapReady
{
    int rank = 0;
    MapNumber map{};
    bool loaded = false;

    bool operator==(const MapReady &) const = default;
};

/** Leader to gate: all ranks are ready, vote. */
struct VoteRequest
{
    FencingNumber leader{};
    EpochNumber epoch{};
    MapNumber map{};

    bool operator==(const VoteRequest &) const = default;
};

/** Leader to gate: the switch is given up; whoever hasn't voted refuses. */
struct CancelMap
{
    FencingNumber leader{};
    EpochNumber epoch{};
    MapNumber map{};

    bool operator==(const CancelMap &) const = default;
};

/** One rank's vote on a switch. Final. */
struct Vote
{
    int rank = 0;
    bool agreed = false;
    StepNumber bound{}; ///< when agreed: the rank starts no step from here on without knowing the outcome

    bool operator==(const Vote &) const = default;
};

/** Anyone to anyone: the votes known on a switch. Facts only, so that lists can be merged in any order. */
struct VoteList
{
    EpochNumber epoch{};
    MapNumber map{};
    std::vector<Vote> votes{};
    std::optional<StepNumber> committedAt{}; ///< when the sender's engine has the switch on its schedule

    bool operator==(const VoteList &) const = default;
};

/** Anyone to anyone: an epoch that the group's stream holds. */
struct EpochAnnouncement
{
    GroupEpoch epoch{};

    bool operator==(const EpochAnnouncement &) const = default;
};

/** Gate to leader, regularly. */
struct RankStatus
{
    int rank = 0;
    Incarnation engine{};
    EpochNumber epoch{};
    MapNumber map{}; ///< of the next step
    StepNumber step{}; ///< the next step
    MapNumber pending{}; ///< the switch that is agreed to or on the schedule but not in use; 0 for none

    bool operator==(const RankStatus &) const = default;
};

/** Leader to gate: I lead now; send your status. */
struct StatusRequest
{
    FencingNumber leader{};

    bool operator==(const StatusRequest &) const = default;
};

/** Gate to leader: what the rank measured in one window. */
struct RankLoadReport
{
    RankReport report{};

    bool operator==(const RankLoadReport &) const = default;
};

/** All messages within a group. */
using GroupMessage = std::variant<LoadMap, MapReady, VoteRequest, CancelMap, VoteList, EpochAnnouncement, RankStatus,
                                  StatusRequest, RankLoadReport>;

/** A message and the group it belongs to. */
struct GroupFrame
{
    GroupName group{};
    GroupMessage message{};
};

/** The payload of an envelope on Channel::Group. */
Bytes encode(const GroupFrame &frame);

/** Reads a payload. Hostile input yields MalformedFrame. */
Result<GroupFrame> decodeGroupFrame(const Bytes &payload);

} // namespace Heatherridge
