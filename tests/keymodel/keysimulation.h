#pragma once

#include "heatherridge_coordination/keys/keygate.h"
#include "heatherridge_state/base/randomsource.h"

#include <memory>
#include <set>
#include <sstream>

namespace Heatherridge
{

/** Probability of each kind of fault, out of 1000 steps unless stated otherwise. All other steps are ordinary. */
struct FaultProfile
{
    std::uint64_t messageLoss = 60; ///< a message or an answer of the service is lost, out of 1000
    std::uint64_t duplication = 60; ///< a message is delivered and kept for another delivery, out of 1000 messages
    std::uint64_t lostAppends = 150; ///< an append fails, or its reply is lost, out of 1000 appends
    std::uint64_t crash = 6;
    std::uint64_t pause = 10;
    std::uint64_t outage = 12;
    std::uint64_t placement = 12;
    std::uint64_t cancel = 15;
    std::uint64_t expiry = 3;
    std::uint64_t refusedCalls = 150; ///< a call meets a closed port and does not run, out of 1000 calls
    std::uint64_t maxClockSkewSeconds = 90; ///< maximum offset of a node's clock
};

/**
 * Simulates three gates of one shard, two entries, callers, a log and a service that counts its executions.
 *
 * A schedule is a sequence of random steps: anything in flight may be delivered, lost, duplicated or delayed.
 * violation() returns the first violated guarantee.
 */
class KeySimulation
{
public:
    KeySimulation(std::uint64_t seed, FaultProfile profile, KeySafeguards safeguards);

    /** Runs @p steps random steps; stops at the first violation. */
    void run(int steps);

    /** Stops all faults, runs until settled, and requests a new key. Returns whether it is executed and answered. */
    bool recoversAfterFaults();

    /** Returns the first violated guarantee, or an empty string. */
    const std::string &violation() const;

    /** Returns the events so far, for the message of a failed test. */
    std::string trace() const;

    /** Return the number of executions, and of those made while the log was unavailable. */
    std::uint64_t executions() const;
    std::uint64_t executionsWithoutLog() const;

private:
    struct Cancellation
    {
        AttemptId attempt;
    };
    using Payload = std::variant<KeyMessage, KeyedCall, Cancellation>;

    struct Message
    {
        GateId from;
        GateId to;
        Payload payload;
    };

    struct Append
    {
        GateId writer;
        KeyBatch batch;
        bool isReportedFailed = false; ///< reported to the writer as failed; may be logged all the same
    };

    struct Run
    {
        GateId gate;
        RunCall call;
        bool isExecuted = false;
    };

    struct Record
    {
        KeyBatch batch;
        WallTime appended;
    };

    struct Node
    {
        GateId id;
        std::unique_ptr<KeyGate> gate;
        std::uint64_t readThrough = 0;
        std::chrono::seconds clockSkew{};
        bool isPaused = false;
        bool canReachLog = true;
    };

    void runStep();
    bool runFaultStep();
    void runOrdinaryStep();
    void perform(Node &node, KeyActions actions);
    void recordAnswer(const AnswerCall &answer);
    void startNode(std::size_t index);
    void updatePlacement(Node &node);
    void sendRequest(const Uuid7 &key, std::size_t to);
    void deliverRandomMessage();
    void deliverTo(Node &node, const Message &received);
    void completeRandomAppend();
    void appendToLog(const Append &append);
    void readRecords(Node &node);
    void completeRandomRun();
    void execute(Run &run);
    void runUntilSettled();
    void reportViolation(const std::string &what);
    Node *findRunning(const GateId &id);
    Node &randomNode();
    WallTime nowAt(const Node &node) const;
    bool drawChance(std::uint64_t perThousand);
    template<typename... Parts>
    void addTrace(const Parts &...parts);

    SeededRandom m_random;
    FaultProfile m_profile;
    KeyGate::Options m_options;
    WallTime m_now{std::chrono::hours(1000)};
    std::vector<Node> m_nodes;
    std::vector<Message> m_messages;
    std::vector<Append> m_appends;
    std::vector<Run> m_runs;
    std::map<std::uint64_t, Record> m_log;
    std::uint64_t m_lastOffset = 0;
    std::uint64_t m_incarnations = 0;
    std::size_t m_preferredNode = 0;
    std::vector<std::uint64_t> m_attemptNumbers{0, 0};
    std::vector<Uuid7> m_keys;
    std::map<AttemptId, Uuid7> m_openAttempts; ///< not answered yet
    std::map<AttemptId, Uuid7> m_allAttempts;
    std::set<AttemptId> m_reportedNotRun;
    std::set<AttemptId> m_executedAttempts;
    std::map<Uuid7, int> m_executionsByKey;
    std::map<Uuid7, std::string> m_answers;
    std::uint64_t m_executions = 0;
    std::uint64_t m_executionsWithoutLog = 0;
    bool m_logAvailable = true;
    std::string m_violation;
    std::vector<std::string> m_trace;
};

} // namespace Heatherridge
