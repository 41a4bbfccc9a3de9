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

/** How often a gate did what, for the counters of the same names. */
struct KeyGateCounters
{
    std::uint64_t run = 0; ///< calls sent to the service
    std::uint64_t runWithoutLog = 0; ///< of these, while the log was out
    std::uint64_t repeatsAnswered = 0; ///< tries answered from what was kept
    std::uint64_t joined = 0; ///< tries that wait for a run under way
    std::uint64_t mismatches = 0; ///< KeyMismatch
    std::uint64_t unknown = 0; ///< KeyOutcomeUnknown
    std::uint64_t expired = 0; ///< KeyExpired
    std::uint64_t fromTheFuture = 0; ///< BadIdempotencyKey: created after now
    std::uint64_t notDecidable = 0; ///< KeyNotDecidable
    std::uint64_t redirected = 0; ///< sent to another gate
    std::uint64_t full = 0; ///< QueueFull
    std::uint64_t late = 0; ///< tries that came doubled or out of order, dropped
    std::uint64_t handedOver = 0; ///< hand-overs given
    std::uint64_t inherited = 0; ///< hand-overs taken
};

/**
 * The one place of a process that decides whether a call with an idempotency key of one shard runs.
 *
 * A state machine: every method takes an event and returns what is to be done. With the log well, a call runs once its
 * intent has been read back as the first of its key, written by the holder of the shard. With the log out, it runs only
 * under the promises that ClaimManager holds. A refused try never runs later. An error's ran speaks of the key, over
 * all tries and gates so far, and is No only where that is proved. No I/O, no clock; one thread.
 */
class KeyGate
{
public:
    struct Options
    {
        KeyLedger::Options ledger{};
        ClaimManager::Options claims{};
        std::chrono::milliseconds window = std::chrono::hours(24); ///< older keys are refused
        std::size_t maxCalls = 4096; ///< calls announced or running
        std::size_t maxWaiters = 8; ///< tries that wait for one run
        std::chrono::milliseconds maxParkTime{1500}; ///< how long a try waits for a take-over of the shard to end
        KeySafeguards safeguards{};
    };

    /** The gate of run @p self. */
    KeyGate(GateId self, Options options);

    /** A try arrived at @p now. It is answered by exactly one AnswerCall, now or later, unless it was dropped. */
    KeyActions requestReceived(const KeyedCall &call, WallTime now);

    /** The entry gives a try up. The try won't run any more unless it runs already; no proof about the key as such. */
    KeyActions cancel(const AttemptId &attempt);

    /**
     * The service's answer to a RunCall. An error whose ran is No frees the key to be run again.
     */
    KeyActions callCompleted(const Uuid7 &key, Result<StoredAnswer> result);

    /** A record of the shard's stream was read; @p batch is nothing when it is damaged. */
    KeyActions recordRead(LogOffset offset, std::optional<KeyBatch> batch, WallTime now);

    /** The records up to @p through have expired unread. */
    KeyActions recordsExpired(LogOffset through);

    /** Reading has come to the end of the stream: from here on claims may be made. */
    KeyActions streamCaughtUp(WallTime now);

    /** The append of batch @p serial ended; without @p ok it may have taken effect or not. */
    KeyActions appendCompleted(std::uint64_t serial, bool ok, WallTime now);

    /** The log is reachable or not, as this process sees it. Decides what is tried, never what is safe. */
    KeyActions logAvailabilityChanged(bool available, WallTime now);

    /** Who is to hold the shard has changed. */
    KeyActions placementChanged(KeyPlacement placement, WallTime now);

    /** Gate @p from sent @p message to this run of this process. */
    KeyActions messageReceived(const GateId &from, const KeyMessage &message, WallTime now);

    /** Asks and appends again what is due; call a few times a second. */
    KeyActions tick(WallTime now);

    /** The fold of the shard's stream. */
    const KeyLedger &ledger() const;

    /** Whether this process would announce calls now. */
    bool isHolder() const;

    /** Calls announced or running. */
    std::size_t openCalls() const;

    /** Whether everything known here is in the log as well: the process may end without loss. */
    bool isRecorded() const;

    /** What happened so far. */
    const KeyGateCounters &counters() const;

private:
    bool registerAttempt(const AttemptId &attempt);
    void decide(const KeyedCall &keyedCall, WallTime now);
    void join(const OpenCall &call, const KeyedCall &keyedCall);
    void answerFromEntry(const KeyEntry &entry, const KeyedCall &keyedCall);
    void admit(const KeyedCall &keyedCall, bool isReleased, WallTime now);
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
    std::map<GateId, std::uint64_t> m_highestAttempts; ///< highest number of each entry's run
    std::optional<std::pair<GateId, ReleaseReply>> m_lastHandOver; ///< kept for a receiver that asks again
    KeyActions m_actions;
    KeyGateCounters m_counters;
    bool m_logAvailable = false;
    bool m_caughtUp = false;
};

} // namespace Heatherridge
