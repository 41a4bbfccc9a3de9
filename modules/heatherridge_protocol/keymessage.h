#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/keys/keyrecord.h"
#include "heatherridge_state/keys/keyshards.h"

#include <variant>

namespace Heatherridge
{

/** Sent by a claim holder to a witness: requests permission to run keys created before `until` while the log is
 * unavailable. */
struct ActivateRequest
{
    ClaimId claim{};
    WallTime until{};

    bool operator==(const ActivateRequest &) const = default;
};

/** The witness's promise to reject successors for keys created before `until`. A witness that declines does not reply.
 */
struct ActivateReply
{
    ClaimId claim{};
    WallTime until{};

    bool operator==(const ActivateReply &) const = default;
};

/** Sent by a successor to a witness: requests that the witness makes no further promises for `claim`. */
struct RevokeRequest
{
    ClaimId claim{};

    bool operator==(const RevokeRequest &) const = default;
};

/** The witness makes no further promises for the claim. It may have made one before. */
struct RevokeReply
{
    ClaimId claim{};
    std::optional<WallTime> activatedUntil{}; ///< the promise made before; empty if there was none

    bool operator==(const RevokeReply &) const = default;
};

/** Sent by a successor to the holder: requests the handover of the shard. */
struct ReleaseRequest
{
    ClaimId claim{};
    bool withOfflineRight =
        false; ///< the sender cannot reach the log and also requests the right to run keys without it

    bool operator==(const ReleaseRequest &) const = default;
};

/** The holder has stopped running keys under the claim; the receiver may run them from now on. */
struct ReleaseReply
{
    LoggedClaim claim{};
    bool withOfflineRight = false; ///< whether the right to run keys without the log is transferred as well
    WallTime until{}; ///< with the right: the earliest of the times promised by the witnesses
    WallTime floor{}; ///< lowest creation time for which the sender could decide keys
    std::vector<KeyRecord> unrecorded{}; ///< runs that may be missing from the log; the receiver appends them
    std::vector<KeyRecord> known{}; ///< with the right: all other keys of the shard

    bool operator==(const ReleaseReply &) const = default;
};

/** Announces a gate's current run to the other gates of its service. The receiver's run is left unspecified. */
struct GatePresence
{
    bool operator==(const GatePresence &) const = default;
};

/** All messages between two gates of a service. */
using KeyMessage = std::variant<ActivateRequest, ActivateReply, RevokeRequest, RevokeReply, ReleaseRequest,
                                ReleaseReply, GatePresence>;

/** A message with sender and addressee. A gate discards frames that are addressed to another run of its process. */
struct KeyFrame
{
    ServiceName service{};
    KeyShard shard{};
    GateId from{};
    GateId to{};
    KeyMessage message{};

    bool operator==(const KeyFrame &) const = default;
};

/** Maximum number of records in each list of a handover; a holder with more records refuses the handover. */
inline constexpr std::size_t MaxHandOverRecords = 4096;

/** Encodes @p frame as the payload of an envelope on Channel::Keys. */
Bytes encode(const KeyFrame &frame);

/** Decodes a frame. Invalid or hostile input yields MalformedFrame, never an exception. */
Result<KeyFrame> decodeKeyFrame(const Bytes &payload);

} // namespace Heatherridge
