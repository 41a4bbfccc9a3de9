#pragma once

#include "heatherridge_protocol/envelope.h"
#include "heatherridge_state/keys/keyrecord.h"
#include "heatherridge_state/keys/keyshards.h"

#include <variant>

namespace Heatherridge
{

/** A holder asks a witness to let it run keys created before @p until while the log is out. */
struct ActivateRequest
{
    ClaimId claim{};
    WallTime until{};

    bool operator==(const ActivateRequest &) const = default;
};

/** The witness's promise to refuse successors for keys created before @p until. A refusal is not answered. */
struct ActivateReply
{
    ClaimId claim{};
    WallTime until{};

    bool operator==(const ActivateReply &) const = default;
};

/** A successor asks a witness to promise nothing more for @p claim. */
struct RevokeRequest
{
    ClaimId claim{};

    bool operator==(const RevokeRequest &) const = default;
};

/** The witness will promise nothing more. It may have promised before. */
struct RevokeReply
{
    ClaimId claim{};
    std::optional<WallTime> activatedUntil{}; ///< what it had promised; nothing when it never did

    bool operator==(const RevokeReply &) const = default;
};

/** A successor asks the holder to hand the shard over. */
struct ReleaseRequest
{
    ClaimId claim{};
    bool withOfflineRight = false; ///< the asker can't reach the log: it wants the right to run keys without it

    bool operator==(const ReleaseRequest &) const = default;
};

/** The holder runs no more keys under the claim; the receiver may. */
struct ReleaseReply
{
    LoggedClaim claim{};
    bool withOfflineRight = false; ///< whether the right to run keys without the log passes too
    WallTime until{}; ///< with the right: what every witness had promised at least
    WallTime floor{}; ///< lowest creation time that the sender could decide
    std::vector<KeyRecord> unrecorded{}; ///< runs that may not be in the log yet; the receiver writes them there
    std::vector<KeyRecord> known{}; ///< with the right: all other keys of the shard

    bool operator==(const ReleaseReply &) const = default;
};

/** A gate tells the other gates of its service which run of its process is alive. The receiver's run is left open. */
struct GatePresence
{
    bool operator==(const GatePresence &) const = default;
};

/** One message between two gates of a service. */
using KeyMessage = std::variant<ActivateRequest, ActivateReply, RevokeRequest, RevokeReply, ReleaseRequest,
                                ReleaseReply, GatePresence>;

/** A message with its address: a gate drops what is meant for another run of its process. */
struct KeyFrame
{
    ServiceName service{};
    KeyShard shard{};
    GateId from{};
    GateId to{};
    KeyMessage message{};

    bool operator==(const KeyFrame &) const = default;
};

/** Most records in one list of a hand-over; a holder with more refuses to hand over. */
inline constexpr std::size_t MaxHandOverRecords = 4096;

/** @p frame as the payload of a frame of Channel::Keys. */
Bytes encode(const KeyFrame &frame);

/** Reads a message. Hostile input yields MalformedFrame, never an exception. */
Result<KeyFrame> decodeKeyFrame(const Bytes &payload);

} // namespace Heatherridge
