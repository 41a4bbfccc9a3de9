#pragma once

#include "heatherridge_state/keys/keyrecord.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Heatherridge
{

/** What the ledger knows of one key. */
struct KeyEntry
{
    RequestFingerprint fingerprint{};
    GateId runner{}; ///< who announced the run that counts
    RunState runState = RunState::Open;
    StoredAnswer answer{}; ///< set when the fate is Answered

    bool operator==(const KeyEntry &) const = default;
};

/** What was skipped while folding, for counters. */
struct LedgerCounters
{
    std::uint64_t damaged = 0; ///< records that no codec could read
    std::uint64_t duplicates = 0; ///< batches appended again after a lost reply
    std::uint64_t notFromHolder = 0; ///< intents and outcomes of a gate that did not hold the shard
    std::uint64_t staleClaims = 0; ///< claims that lost against an earlier one
    std::uint64_t refusedIntents = 0; ///< intents for keys already recorded, or below the floor
    std::uint64_t answersDropped = 0; ///< stored answers given up to save memory
};

/**
 * The fold of one key stream: the same records in the same order give every reader the same ledger.
 *
 * Memory is bounded: keys older than the window are forgotten, and what is forgotten can never be run again, because
 * the floor rises with it and a key carries its own creation time. No I/O, no clock. One thread.
 */
class KeyLedger
{
public:
    struct Options
    {
        std::chrono::milliseconds window = std::chrono::hours(24); ///< how long a key is remembered
        std::size_t maxEntries = 100'000; ///< above this the oldest keys are forgotten early
        std::size_t maxAnswerBytes = 32UL << 20U; ///< above this the oldest answers lose their bodies
        KeySafeguards safeguards{};
    };

    /** An empty ledger that has folded nothing. */
    explicit KeyLedger(Options options);

    /**
     * Folds the record at @p offset, which must be above appliedOffset(). @p batch is nothing when the record is
     * damaged.
     */
    void apply(LogOffset offset, std::optional<KeyBatch> batch);

    /**
     * Says that the records up to @p through have expired unread. Until a batch whose writer had seen them arrives,
     * or a claim that was made after the loss, the ledger is not whole.
     */
    void recordsExpired(LogOffset through);

    /** Whether nothing is missing: only then the absence of a key means anything. */
    bool isComplete() const;

    /** The offset up to which all is folded or known as lost. */
    LogOffset appliedOffset() const;

    /** The claim in force, if any. */
    const std::optional<LoggedClaim> &claim() const;

    /** Whether @p gate holds the shard. */
    bool isHolder(const GateId &gate) const;

    /** The entry of @p key, or nullptr. The ledger keeps ownership, until the next change. */
    const KeyEntry *find(const Uuid7 &key) const;

    /** Whether a key created at @p time that is not in the ledger is certain not to have been recorded before. */
    bool canDecide(WallTime time) const;

    /** Lowest creation time that can be decided. */
    WallTime floor() const;

    /** Highest end of any claim among the records that wait for a reader that is whole again. */
    WallTime latestPendingClaimEnd() const;

    /** What to write into the next batch; empty while not whole. */
    LedgerView view() const;

    /** All entries in order of creation time. */
    const std::map<Uuid7, KeyEntry> &entries() const;

    /** What was skipped so far. */
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
