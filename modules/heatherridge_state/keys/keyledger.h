#pragma once

#include "heatherridge_state/keys/keyrecord.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** The ledger's entry for a key. */
struct KeyEntry
{
    RequestFingerprint fingerprint{};
    GateId runner{}; ///< the gate that announced the valid run
    RunState runState = RunState::Open;
    StoredAnswer answer{}; ///< set if the run state is Answered

    bool operator==(const KeyEntry &) const = default;
};

/** Counts of the records skipped and the answers dropped while applying batches. */
struct LedgerCounters
{
    std::uint64_t damaged = 0; ///< records that could not be decoded
    std::uint64_t duplicates = 0; ///< batches appended again after a lost reply
    std::uint64_t notFromHolder = 0; ///< intents and outcomes by a gate that did not hold the shard
    std::uint64_t staleClaims = 0; ///< claims that lost to an earlier one
    std::uint64_t refusedIntents = 0; ///< intents for keys that are already recorded or below the floor
    std::uint64_t answersDropped = 0; ///< bodies of stored answers dropped to save memory
};

/**
 * State of one key stream, built by applying its records in order. Every reader that applies the same records gets the
 * same ledger.
 *
 * Memory is bounded: keys older than the window are evicted. An evicted key can never be run again, because eviction
 * raises the floor and every key carries its own creation time. Does no I/O and reads no clock. Not thread-safe.
 */
class KeyLedger
{
public:
    struct Options
    {
        std::chrono::milliseconds window = std::chrono::hours(24); ///< how long a key is kept
        std::size_t maxEntries = 100'000; ///< above this, the oldest keys are evicted early
        std::size_t maxAnswerBytes = 32UL << 20U; ///< above this, the bodies of the oldest answers are dropped
        KeySafeguards safeguards{};
    };

    /** Creates an empty ledger. */
    explicit KeyLedger(Options options);

    /**
     * Applies the record at @p offset, which must be above appliedOffset(). @p batch is empty if the record could not
     * be decoded.
     */
    void apply(LogOffset offset, std::optional<KeyBatch> batch);

    /**
     * Records that the records up to @p through have expired unread. The ledger is incomplete until it reads a batch
     * whose writer had applied them, or a claim made after the loss.
     */
    void recordsExpired(LogOffset through);

    /** Returns whether no records are missing. Only then does the absence of a key mean that it was not recorded. */
    bool isComplete() const;

    /** Returns the offset up to which all records have been applied or are known to be lost. */
    LogOffset appliedOffset() const;

    /** Returns the claim in force, if any. */
    const std::optional<LoggedClaim> &claim() const;

    /** Returns whether @p gate holds the shard. */
    bool isHolder(const GateId &gate) const;

    /** Returns the entry of @p key, or nullptr. Owned by the ledger and valid until its next change. */
    const KeyEntry *find(const Uuid7 &key) const;

    /** Returns whether a key created at @p time that is not in the ledger is certain never to have been recorded. */
    bool canDecide(WallTime time) const;

    /** Returns the lowest creation time at which an unrecorded key can be decided. */
    WallTime floor() const;

    /** Returns the latest end of any claim among the batches held back while the ledger is incomplete. */
    WallTime latestPendingClaimEnd() const;

    /** Returns the view to write into the next batch. Empty while the ledger is incomplete. */
    LedgerView view() const;

    /** Returns all entries in order of creation time. */
    const std::map<Uuid7, KeyEntry> &entries() const;

    /** Returns the counts so far. */
    const LedgerCounters &counters() const;

private:
    struct Pending
    {
        LogOffset offset{};
        KeyBatch batch{};
    };

    void applyBatch(LogOffset offset, const KeyBatch &batch);
    void applyClaim(LogOffset offset, const KeyBatch &batch, const KeyClaim &claim);
    void applyIntent(const KeyBatch &batch, const KeyIntent &intent);
    void applyOutcome(const KeyBatch &batch, const KeyOutcome &outcome);
    bool isAuthorizedWriter(const KeyBatch &batch) const;
    bool closeOpenEntry(const KeyBatch &batch, const KeyOutcome &outcome);
    void resumeAfterLoss(const LedgerView &view);
    void addUnverified(const KeyBatch &batch);
    void setAnswer(KeyEntry &entry, const KeyOutcome &outcome);
    void updateNewestKeyTime(const Uuid7 &key);
    void evictOldEntries();
    void dropOldAnswerBodies();
    bool isDuplicate(const KeyBatch &batch);

    Options m_options;
    std::map<Uuid7, KeyEntry> m_entries;
    std::map<GateId, std::uint64_t> m_lastSerials;
    std::vector<Pending> m_pending;
    std::optional<LoggedClaim> m_claim;
    std::optional<LogOffset> m_lostThrough;
    LogOffset m_appliedOffset{};
    WallTime m_floor{};
    WallTime m_newestKeyTime{};
    std::size_t m_answerBytes = 0;
    LedgerCounters m_counters;
};

} // namespace Heatherridge
