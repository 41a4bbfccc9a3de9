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

/** One run of one target's process. A restarted process is another one: it remembers nothing. */
struct GateId
{
    ProcessName process{};
    Incarnation incarnation{};

    auto operator<=>(const GateId &) const = default;
    bool operator==(const GateId &) const = default;
};

/** A service's answer as it is kept for repeats of the key. */
struct StoredAnswer
{
    /** Longest body that is kept, in bytes. Of a longer one only the status is, and a repeat is told that it ran. */
    static constexpr std::size_t MaxBodyBytes = 4096;

    int status = 0; ///< HTTP status of the service
    std::string contentType{};
    std::string body{};
    bool bodyDropped = false; ///< the body was above the bound, or was given up to save memory

    bool operator==(const StoredAnswer &) const = default;
};

/** How the execution of one key ended. */
enum class RunState {
    Open, ///< it may run now, or its process died: nothing is known yet
    Answered, ///< the service answered
    NotRun, ///< the one process that could have run it did not, and will not run that try
    Unknown, ///< it may have run; nobody will ever know from here
};

/** Announces that @p runner is about to run @p key. Counts only when read back as the first of its key. */
struct KeyIntent
{
    Uuid7 key{};
    RequestFingerprint fingerprint{};
    GateId runner{};

    bool operator==(const KeyIntent &) const = default;
};

/** What came of a run. Stands for its intent as well, for runs that were made while the log was out. */
struct KeyOutcome
{
    Uuid7 key{};
    RequestFingerprint fingerprint{};
    GateId runner{};
    RunState runState = RunState::Unknown;
    StoredAnswer answer{};

    bool operator==(const KeyOutcome &) const = default;
};

/** Names one claim before its place in the log is known. */
struct ClaimId
{
    GateId holder{};
    std::uint64_t serial = 0; ///< counted by the holder, from 1

    auto operator<=>(const ClaimId &) const = default;
    bool operator==(const ClaimId &) const = default;
};

/**
 * Makes its writer the holder of the shard, if no other claim came between @p basedOn and this one.
 *
 * The holder alone may run keys of the shard. The witnesses decide whether it may do so while the log is out: it needs
 * the promise of every one of them, while a successor needs the refusal of any single one.
 */
struct KeyClaim
{
    ClaimId id{};
    LogOffset basedOn{}; ///< offset of the claim that it replaces; 0 for the first
    std::vector<GateId> witnesses{}; ///< empty: never runs a key without the log
    WallTime until{}; ///< without the log, only keys created before this may run
    WallTime floor{}; ///< keys created before this and not in the ledger can't be decided any more
    /** The claim before it has expired from the log: basedOn is the last offset in the stream, and the claim counts
     * only when it lands at the very next one. */
    bool afterLoss = false;

    bool operator==(const KeyClaim &) const = default;
};

/** One entry of a batch. */
using KeyRecord = std::variant<KeyIntent, KeyOutcome, KeyClaim>;

/** A claim at its place in the log. */
struct LoggedClaim
{
    LogOffset offset{};
    KeyClaim claim{};

    bool operator==(const LoggedClaim &) const = default;
};

/**
 * What a writer had folded when it wrote a batch, so that a reader for whom the older records have expired can go on.
 */
struct LedgerView
{
    LogOffset covers{}; ///< folded up to here
    std::optional<LoggedClaim> claim{}; ///< the claim in force there
    WallTime floor{}; ///< lowest creation time that can be decided
    WallTime newestKeyTime{}; ///< highest creation time of any key recorded up to there

    bool operator==(const LedgerView &) const = default;
};

/**
 * Switches off single safeguards, so that tests can show that each of them is needed. All are on in the programs.
 */
struct KeySafeguards
{
    bool claimsCompareOffset = true; ///< a claim counts only when it names the claim before it
    bool onlyHolderAnnounces = true; ///< intents of anybody but the holder are void
    bool duplicateBatchesSkipped = true; ///< a batch counts once, however often it lands
    bool intentsReadBack = true; ///< a call runs when its intent is read back, not when it was appended
    bool witnessesAsked = true; ///< without the log, a call runs only when all witnesses have promised
    bool witnessesFrozen = true; ///< a witness that has answered a successor promises no more to the holder
    bool claimsInFlightCount = true; ///< claims that may have landed need promises too
    bool floorRaised = true; ///< a successor treats keys that may have run without the log as undecidable
    bool deadRunsUnknown = true; ///< what a dead process announced is never run again
    bool releaseStops = true; ///< who has handed a shard over runs no more keys of it
    bool releaseCarriesRuns = true; ///< a hand-over names the keys that were run without the log
    bool attemptsOnce = true; ///< a request that comes doubled or late is dropped
};

/** One append to a key stream: many records at the price of one. */
struct KeyBatch
{
    GateId writer{};
    std::uint64_t serial = 0; ///< counted by the writer, from 1; a batch that is appended again keeps its number
    LedgerView view{};
    std::optional<ClaimId> onBehalfOf{}; ///< the claim whose holder has handed the shard over to the writer
    std::vector<KeyRecord> records{};

    bool operator==(const KeyBatch &) const = default;
};

} // namespace Heatherridge
