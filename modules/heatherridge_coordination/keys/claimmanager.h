#pragma once

#include "heatherridge_protocol/keymessage.h"
#include "heatherridge_state/keys/keyledger.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Heatherridge
{

/** Where a shard is to be held, as the inventory and the membership have it here and now. */
struct KeyPlacement
{
    bool shouldHold = false; ///< this process is to hold the shard
    bool accepting = true; ///< false while it drains or is withdrawn: it hands the shard over and runs nothing new
    std::vector<GateId> witnesses{}; ///< who is to witness its claims; empty: no key runs while the log is out
    ProcessName preferredHolder{}; ///< who is to hold it, for callers' entries

    bool operator==(const KeyPlacement &) const = default;
};

/** A message on its way to another gate of the shard. */
struct OutgoingKeyMessage
{
    GateId to{};
    KeyMessage message{};
};

/**
 * One process's part in who holds a shard: claims, the witnesses' promises, taking over and handing over.
 *
 * It answers two questions: may this process announce keys in the log, and may it run a key without the log. The second
 * is yes only while every witness of every claim that may be in force promises to refuse successors; see
 * docs/notes/idempotency.md for the argument. No I/O, no clock; one thread.
 */
class ClaimManager
{
public:
    struct Options
    {
        std::chrono::milliseconds claimSpan = std::chrono::hours(2); ///< a claim's end lies this far ahead
        std::chrono::milliseconds activationSpan = std::chrono::minutes(4); ///< so does a witness's promise
        std::chrono::milliseconds tolerance = std::chrono::minutes(2); ///< how far hosts' clocks may be apart
        KeySafeguards safeguards{};
    };

    ClaimManager(GateId self, Options options);

    /** Takes a new placement. Does nothing by itself. */
    void setPlacement(KeyPlacement placement);

    /** The placement in force. */
    const KeyPlacement &placement() const;

    /** Whether this process holds the shard by the log and has not handed it over. */
    bool canAnnounce(const KeyLedger &ledger) const;

    /** Whether a key created at @p time and not known here may be run without the log. */
    bool canRunWithoutLog(const KeyLedger &ledger, WallTime time) const;

    /**
     * The claim to append now, if one is due: the first one, a renewal, or a take-over that is allowed. At most one is
     * on its way until confirmClaimReadBack().
     */
    std::optional<KeyClaim> nextClaim(const KeyLedger &ledger, WallTime now);

    /** This process's claim has been read back, whether it counts or not. */
    void confirmClaimReadBack();

    /** What to ask other gates now; asked again on each call until it is answered. */
    std::vector<OutgoingKeyMessage> pendingRequests(const KeyLedger &ledger, WallTime now, bool logAvailable) const;

    /** A witness's promise. */
    void handleReply(const GateId &from, const ActivateReply &reply);

    /** A witness's refusal to promise anything more to the holder. */
    void handleReply(const GateId &from, const RevokeReply &reply, const KeyLedger &ledger);

    /** Whether the shard may be handed over to @p to now, as @p request asks. */
    bool canRelease(const GateId &to, const ReleaseRequest &request, const KeyLedger &ledger) const;

    /** The hand-over without its records. From here on no key is announced or run under the claim. */
    ReleaseReply release(const GateId &to, const ReleaseRequest &request, const KeyLedger &ledger);

    /** Whom the shard was handed over to under the claim in force, if anybody. */
    std::optional<GateId> releasedTo(const KeyLedger &ledger) const;

    /** Takes a hand-over. False when it was taken before: a doubled one must not bring a right back. */
    bool acceptHandOver(const ReleaseReply &reply);

    /** The claim under which this process may write though it isn't its holder. */
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
    std::optional<LoggedClaim> m_handedOverClaim; ///< another's claim whose right was handed over
    WallTime m_handedOverFloor{};
    std::optional<Revocation> m_bestRevocation; ///< the best word of a witness on the claim to be replaced
    std::uint64_t m_serial = 0;
};

} // namespace Heatherridge
