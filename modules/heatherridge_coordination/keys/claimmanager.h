#pragma once

#include "heatherridge_protocol/keymessage.h"
#include "heatherridge_state/keys/keyledger.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Heatherridge
{

/** Where a shard should be held, according to this process's current inventory and membership. */
struct KeyPlacement
{
    bool shouldHold = false; ///< whether this process should hold the shard
    bool accepting = true; ///< false while draining or withdrawn: hands the shard over, runs no new calls
    std::vector<GateId> witnesses{}; ///< witnesses for new claims; if empty, no key runs while the log is unavailable
    ProcessName preferredHolder{}; ///< the process that should hold the shard, to redirect entries to

    bool operator==(const KeyPlacement &) const = default;
};

/** A message to send to another gate of the shard. */
struct OutgoingKeyMessage
{
    GateId to{};
    KeyMessage message{};
};

/**
 * Manages one process's claims on a shard: making claims, the witnesses' promises, take-over and hand-over.
 *
 * Decides whether this process may announce keys in the log and whether it may run a key without the log. It may run
 * keys without the log only while every witness of every claim that may be in force promises to refuse successors; see
 * docs/notes/idempotency.md for the proof. Does no I/O and reads no clock. Not thread-safe.
 */
class ClaimManager
{
public:
    struct Options
    {
        std::chrono::milliseconds claimSpan = std::chrono::hours(2); ///< duration of a claim
        std::chrono::milliseconds activationSpan = std::chrono::minutes(4); ///< duration of a witness's promise
        std::chrono::milliseconds tolerance = std::chrono::minutes(2); ///< maximum clock difference between hosts
        KeySafeguards safeguards{};
    };

    ClaimManager(GateId self, Options options);

    /** Sets the placement. Takes no action by itself. */
    void setPlacement(KeyPlacement placement);

    /** Returns the current placement. */
    const KeyPlacement &placement() const;

    /** Returns whether this process holds the shard according to the log and has not handed it over. */
    bool canAnnounce(const KeyLedger &ledger) const;

    /** Returns whether a key that was created at @p time and is not known here may be run without the log. */
    bool canRunWithoutLog(const KeyLedger &ledger, WallTime time) const;

    /**
     * Returns the claim to append now, if one is due: the first claim, a renewal, or a permitted take-over. At most one
     * claim is in flight until confirmClaimReadBack() is called.
     */
    std::optional<KeyClaim> nextClaim(const KeyLedger &ledger, WallTime now);

    /** Called when this process's claim has been read back, whether it is valid or not. */
    void confirmClaimReadBack();

    /** Returns the requests to send to other gates now. Each is returned by every call until it is answered. */
    std::vector<OutgoingKeyMessage> pendingRequests(const KeyLedger &ledger, WallTime now, bool logAvailable) const;

    /** Handles a witness's promise. */
    void handleReply(const GateId &from, const ActivateReply &reply);

    /** Handles a witness's statement that it makes no more promises to the holder. */
    void handleReply(const GateId &from, const RevokeReply &reply, const KeyLedger &ledger);

    /** Returns whether the shard may be handed over to @p to now, as @p request asks. */
    bool canRelease(const GateId &to, const ReleaseRequest &request, const KeyLedger &ledger) const;

    /**
     * Releases the claim and returns the hand-over without its records. From then on, no key is announced or run under
     * the claim.
     */
    ReleaseReply release(const GateId &to, const ReleaseRequest &request, const KeyLedger &ledger);

    /** Returns the gate that the shard was handed over to under the claim in force, if any. */
    std::optional<GateId> releasedTo(const KeyLedger &ledger) const;

    /**
     * Accepts a hand-over. Returns false if it was accepted or the claim was released before: a duplicate must not
     * restore a right that this process has passed on.
     */
    bool acceptHandOver(const ReleaseReply &reply);

    /** Returns whether a hand-over by @p holder was accepted: that run of its process was alive then. */
    bool hasHandOverFrom(const GateId &holder) const;

    /** Returns the claim under which this process may write although it isn't its holder, if any. */
    std::optional<ClaimId> onBehalfOf(const KeyLedger &ledger) const;

private:
    struct Revocation
    {
        ClaimId claim{};
        std::optional<WallTime> floor{};
    };

    std::optional<LoggedClaim> activeClaim(const KeyLedger &ledger) const;
    bool isReleased(const ClaimId &claim) const;
    bool isPromised(const KeyClaim &claim, WallTime time) const;
    bool isRenewalDue(const KeyClaim &current, WallTime now) const;
    std::optional<WallTime> takeOverFloor(const LoggedClaim &current, WallTime now) const;
    void addActivateRequests(std::vector<OutgoingKeyMessage> &messages, const KeyClaim &claim, WallTime now) const;
    KeyClaim makeClaim(LogOffset basedOn, WallTime floor, WallTime now);

    GateId m_self;
    Options m_options;
    KeyPlacement m_placement;
    std::optional<KeyClaim> m_claimInFlight;
    std::map<ClaimId, std::map<GateId, WallTime>> m_promises; ///< by claim and witness
    std::map<ClaimId, GateId> m_releasedTo;
    std::set<ClaimId> m_acceptedHandOvers;
    std::optional<LoggedClaim> m_handedOverClaim; ///< another gate's claim that this one may run keys under
    WallTime m_handedOverFloor{};
    std::optional<Revocation> m_bestRevocation; ///< the witness reply with the lowest floor for the claim to replace
    std::uint64_t m_serial = 0;
};

} // namespace Heatherridge
