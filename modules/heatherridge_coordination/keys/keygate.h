#pragma once

#include "heatherridge_coordination/keys/batchwriter.h"
#include "heatherridge_coordination/keys/claimmanager.h"
#include "heatherridge_coordination/keys/keyaction.h"
#include "heatherridge_coordination/keys/opencalls.h"
#include "heatherridge_coordination/keys/unrecordedkeys.h"
#include "heatherridge_coordination/keys/witnesspromises.h"

#include <map>

namespace Heatherridge
{

/** Event counts of a gate. All but duplicateAttempts are exported as metrics with corresponding names. */
struct KeyGateCounters
{
    std::uint64_t run = 0; ///< calls sent to the service
    std::uint64_t runWithoutLog = 0; ///< of these, calls run while the log was unavailable
    std::uint64_t repeatsAnswered = 0; ///< attempts answered from a stored answer
    std::uint64_t joined = 0; ///< attempts that joined an open call
    std::uint64_t mismatches = 0; ///< KeyMismatch
    std::uint64_t unknown = 0; ///< KeyOutcomeUnknown
    std::uint64_t expired = 0; ///< KeyExpired
    std::uint64_t fromTheFuture = 0; ///< BadIdempotencyKey: created in the future
    std::uint64_t notDecidable = 0; ///< KeyNotDecidable
    std::uint64_t redirected = 0; ///< attempts redirected to another gate
    std::uint64_t full = 0; ///< QueueFull
    std::uint64_t duplicateAttempts = 0; ///< attempts dropped because they arrived twice or out of order
    std::uint64_t handedOver = 0; ///< hand-overs sent
    std::uint64_t inherited = 0; ///< hand-overs accepted
};

/**
 * Decides whether calls with an idempotency key of one shard run in this process. No other class makes this decision.
 *
 * A state machine: each event method returns the actions to perform. While the log is available, a call runs once its
 * intent has been read back as the first intent for its key, written by the holder of the shard. While the log is
 * unavailable, a call runs only under the promises tracked by ClaimManager. A refused attempt never runs later. The
 * `ran` of an error refers to the key, over all attempts and gates so far, and is No only if that is proven. Does no
 * I/O and reads no clock. Not thread-safe.
 */
class KeyGate
{
public:
    struct Options
    {
        KeyLedger::Options ledger{};
        ClaimManager::Options claims{};
        std::chrono::milliseconds window = std::chrono::hours(24); ///< older keys are rejected
        std::size_t maxCalls = 4096; ///< maximum number of open calls and parked attempts
        std::size_t maxWaiters = 8; ///< maximum number of attempts that wait for one run
        std::chrono::milliseconds maxParkTime{1500}; ///< how long an attempt waits for promises or a take-over
        KeySafeguards safeguards{};
    };

    /** Creates the gate of process run @p self. */
    KeyGate(GateId self, Options options);

    /** Called when an attempt arrives. It is answered by exactly one AnswerCall, now or later, unless it is dropped. */
    KeyActions requestReceived(const KeyedCall &call, WallTime now);

    /**
     * Called when the entry cancels an attempt. The attempt will not run unless it is running already. This proves
     * nothing about the key, which another attempt may have run.
     */
    KeyActions cancel(const AttemptId &attempt);

    /**
     * Called with the service's answer to a RunCall. An error whose `ran` is No releases the key to be run again.
     */
    KeyActions callCompleted(const Uuid7 &key, Result<StoredAnswer> result);

    /** Called for each record read from the shard's stream. @p batch is empty if the record could not be decoded. */
    KeyActions recordRead(LogOffset offset, std::optional<KeyBatch> batch, WallTime now);

    /** Called when the records up to @p through have expired unread. */
    KeyActions recordsExpired(LogOffset through);

    /** Called when the end of the stream has been read. Claims may be made from then on. */
    KeyActions streamCaughtUp(WallTime now);

    /** Called when the append of batch @p serial ended. If not @p ok, the batch may or may not have been logged. */
    KeyActions appendCompleted(std::uint64_t serial, bool ok, WallTime now);

    /**
     * Called when the log has become reachable or unreachable for this process. Affects which calls are attempted,
     * never what is safe.
     */
    KeyActions logAvailabilityChanged(bool available, WallTime now);

    /** Called when the placement of the shard may have changed. */
    KeyActions placementChanged(KeyPlacement placement, WallTime now);

    /** Called when a message from gate @p from to this run of this process arrives. */
    KeyActions messageReceived(const GateId &from, const KeyMessage &message, WallTime now);

    /** Repeats unanswered requests and appends queued records. Call a few times a second. */
    KeyActions tick(WallTime now);

    /** Returns the ledger of the shard's stream. */
    const KeyLedger &ledger() const;

    /** Returns whether this process holds the shard and may announce calls. */
    bool isHolder() const;

    /** Returns the number of open calls and parked attempts. */
    std::size_t openCalls() const;

    /** Returns whether all records have been read back from the log, so that the process can exit without loss. */
    bool isRecorded() const;

    /** Returns the counts so far. */
    const KeyGateCounters &counters() const;

private:
    bool registerAttempt(const AttemptId &attempt);
    void decide(const ParkedCall &waiting, WallTime now);
    bool mayOutcomeFollow(const KeyEntry &entry) const;
    void join(const OpenCall &call, const KeyedCall &keyedCall);
    void answerFromEntry(const KeyEntry &entry, const KeyedCall &keyedCall);
    void admit(const ParkedCall &waiting, bool isReleased, WallTime now);
    std::optional<ErrorKind> checkCreationTime(WallTime time, WallTime now);
    void retryParked(WallTime now);
    void announce(const KeyedCall &keyedCall);
    void startWithoutLog(const KeyedCall &keyedCall);
    void run(const Uuid7 &key, OpenCall &call);
    void handleOwnIntent(const KeyIntent &intent);
    void handleLostRecord(const KeyRecord &record);
    void handleOwnBatch(const KeyBatch &batch);
    void runAnnouncedWithoutLog();
    void closeCallsRunElsewhere();
    void closeUnrunCall(const Uuid7 &key, const std::optional<KeyEntry> &entry);
    void recordOutcome(const Uuid7 &key, const OpenCall &call, RunState runState, const StoredAnswer &answer);
    void sendAnswer(const AttemptId &attempt, KeyReply reply);
    void refuse(const AttemptId &attempt, ErrorKind kind, std::optional<ExecutionStatus> ran = {});
    void redirect(const AttemptId &attempt);
    void send(const GateId &to, const KeyMessage &message, WallTime now);
    void handle(const GateId &from, const KeyMessage &message, WallTime now);
    void handOver(const GateId &to, const ReleaseRequest &request);
    void acceptHandOver(const ReleaseReply &reply);
    void advance(WallTime now);
    void flush();
    KeyActions takeActions();

    GateId m_self;
    Options m_options;
    KeyLedger m_ledger;
    ClaimManager m_claimManager;
    WitnessPromises m_witnessPromises;
    BatchWriter m_writer;
    OpenCalls m_calls;
    UnrecordedKeys m_unrecorded;
    std::map<GateId, std::uint64_t> m_highestAttempts; ///< highest attempt number by entry run
    std::optional<std::pair<GateId, ReleaseReply>> m_lastHandOver; ///< kept to answer a repeated request
    KeyActions m_actions;
    KeyGateCounters m_counters;
    bool m_logAvailable = false;
    bool m_caughtUp = false;
};

} // namespace Heatherridge
