#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/keys/requestfingerprint.h"
#include "heatherridge_state/keys/uuid7.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** Identifies one run of a target's process. A restarted process has a new id, because it has lost its memory. */
struct GateId
{
    ProcessName process{};
    Incarnation incarnation{};

    auto operator<=>(const GateId &) const = default;
    bool operator==(const GateId &) const = default;
};

/** A service's answer, stored to answer repeated requests with the same key. */
struct StoredAnswer
{
    /**
     * Maximum size of a stored body, in bytes. Of an answer with a longer body only the status is stored, and a
     * repeated request gets an error that says that the call ran.
     */
    static constexpr std::size_t MaxBodyBytes = 4096;

    int status = 0; ///< HTTP status from the service
    std::string contentType{};
    std::string body{};
    bool bodyDropped = false; ///< the body exceeded MaxBodyBytes, or was dropped to save memory

    bool operator==(const StoredAnswer &) const = default;
};

/** What is known of the run of a key. */
enum class RunState {
    Open, ///< announced, no outcome yet: it may be running, or its process may have died
    Answered, ///< the service answered
    NotRun, ///< the only process allowed to run it did not, and will not run that attempt
    Unknown, ///< it may have run; this can no longer be determined
};

/** Announces that `runner` is about to run `key`. Valid only if it is read back as the first intent for its key. */
struct KeyIntent
{
    Uuid7 key{};
    RequestFingerprint fingerprint{};
    GateId runner{};

    bool operator==(const KeyIntent &) const = default;
};

/** The outcome of a run. Replaces the intent as well, for runs made while the log was unavailable. */
struct KeyOutcome
{
    Uuid7 key{};
    RequestFingerprint fingerprint{};
    GateId runner{};
    RunState runState = RunState::Unknown;
    StoredAnswer answer{};

    bool operator==(const KeyOutcome &) const = default;
};

/** Identifies a claim before its offset in the log is known. */
struct ClaimId
{
    GateId holder{};
    std::uint64_t serial = 0; ///< counted by the holder, from 1

    auto operator<=>(const ClaimId &) const = default;
    bool operator==(const ClaimId &) const = default;
};

/**
 * Makes its writer the holder of the shard, unless another claim was logged between `basedOn` and this one.
 *
 * Only the holder may run keys of the shard. Its witnesses decide whether it may do so while the log is unavailable:
 * the holder needs a promise from every witness, while a successor needs only one witness to refuse further promises.
 */
struct KeyClaim
{
    ClaimId id{};
    LogOffset basedOn{}; ///< offset of the claim that it replaces; 0 for the first claim
    std::vector<GateId> witnesses{}; ///< if empty, the holder never runs a key without the log
    WallTime until{}; ///< without the log, only keys created before this time may run
    WallTime floor{}; ///< keys created before this time that are not in the ledger can no longer be decided
    /**
     * Set if the previous claim has expired from the log. basedOn is then the last offset in the stream, and the claim
     * is valid only if it is logged at the next offset.
     */
    bool afterLoss = false;

    bool operator==(const KeyClaim &) const = default;
};

/** A record in a batch. */
using KeyRecord = std::variant<KeyIntent, KeyOutcome, KeyClaim>;

/** A claim and its offset in the log. */
struct LoggedClaim
{
    LogOffset offset{};
    KeyClaim claim{};

    bool operator==(const LoggedClaim &) const = default;
};

/**
 * Summary of the records that a writer had applied when it wrote a batch. Lets a reader resume if the older records
 * have expired before it read them.
 */
struct LedgerView
{
    LogOffset covers{}; ///< last offset applied
    std::optional<LoggedClaim> claim{}; ///< the claim in force at that offset
    WallTime floor{}; ///< lowest creation time at which an unrecorded key can be decided
    WallTime newestKeyTime{}; ///< highest creation time of any key recorded up to that offset

    bool operator==(const LedgerView &) const = default;
};

/**
 * Switches for the individual safeguards against running a key twice. Tests switch off one at a time to show that each
 * is needed; the programs keep all of them on.
 */
struct KeySafeguards
{
    bool claimsCompareOffset = true; ///< a claim is valid only if it names the claim before it
    bool onlyHolderAnnounces = true; ///< intents by any gate but the holder are ignored
    bool duplicateBatchesSkipped = true; ///< a batch is applied once, however often it is logged
    bool intentsReadBack = true; ///< a call runs once its intent is read back, not once it is appended
    bool witnessesAsked = true; ///< without the log, a call runs only if all witnesses have promised
    bool witnessesFrozen = true; ///< a witness that answered a successor makes no more promises to the holder
    bool claimsInFlightCount = true; ///< claims that may have been logged need promises too
    bool floorRaised = true; ///< a successor treats keys that may have run without the log as undecidable
    bool deadRunsUnknown = true; ///< a key announced by a process that died is never run again
    bool releaseStops = true; ///< a gate that has handed a shard over runs no more keys of it
    bool releaseCarriesRuns = true; ///< a hand-over lists the keys that were run without the log
    bool attemptsOnce = true; ///< a request that arrives twice or out of order is dropped
};

/** One append to a key stream: many records at the cost of one. */
struct KeyBatch
{
    GateId writer{};
    std::uint64_t serial = 0; ///< counted by the writer, from 1; a batch that is appended again keeps its serial
    LedgerView view{};
    std::optional<ClaimId> onBehalfOf{}; ///< the claim whose holder handed the shard over to the writer
    std::vector<KeyRecord> records{};

    bool operator==(const KeyBatch &) const = default;
};

} // namespace Heatherridge
