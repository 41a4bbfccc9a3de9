#pragma once

#include "fakeengine.h"

#include <map>
#include <memory>

namespace Heatherridge::PolicyModel
{

/** Which of the target-side mechanisms are on. */
struct GateOptions
{
    bool admission = true; ///< off: the engine takes all, in the order of arrival
    bool adaptive = true; ///< off: fixedLimit
    std::size_t fixedLimit = 64;
    AdmissionOptions queue{};
    ConcurrencyOptions limit{.initialLimit = 16};
};

/** What a gate tells an entry, with each answer and each heartbeat. */
struct GateReport
{
    double load = 0; ///< cost that runs and waits, from all entries
    double entryLoad = 0; ///< the asking entry's part
    double capacity = 0; ///< load at which the gate is full
    double pressure = 1;
    double pendingPrompt = 0;
    double warmth = 1;
    std::chrono::microseconds tokenGap{}; ///< smoothed time between tokens
};

/** How one attempt ended at the gate. */
struct AttemptResult
{
    std::optional<Error> error{};
    EngineResult engineResult{};
    SteadyTime started{};
};

/** The process beside one engine: admission queue, concurrency limit and fault injection. */
class FakeGate
{
public:
    using CompletionHandler = std::function<void(const AttemptResult &)>;

    FakeGate(GateOptions options, EngineOptions engine, const std::vector<Customer> &customers, EventLoop &loop);

    /** An attempt of @p entry arrives. @p ended is called exactly once. */
    void offer(const Job &job, std::size_t entry, CompletionHandler onCompleted);

    /** Stops or starts host and engine; what runs or waits fails. */
    void setDown(bool down);

    /** What this gate reports to @p entry now. */
    GateReport reportFor(std::size_t entry) const;

    /** Whether @p entry has work here, whose answer's frames carry reports. */
    bool servesEntry(std::size_t entry) const
    {
        const auto entryLoad = m_loadOfEntry.find(entry);
        return entryLoad != m_loadOfEntry.end() && entryLoad->second > 0.5;
    }

    /** The engine, for faults and for the oracle. */
    FakeEngine &engine()
    {
        return m_engine;
    }

    /** Whether the host is up. */
    bool isUp() const
    {
        return !m_down;
    }

    /** The limit in force. */
    std::size_t limit() const
    {
        return m_limit.limit();
    }

private:
    struct ActiveAttempt
    {
        Job job{};
        std::size_t entry = 0;
        CompletionHandler onCompleted{};
        SteadyTime started{};
        bool running = false;
    };

    void start(const RequestId &id);
    void finish(const RequestId &id, const EngineResult &done);
    void end(const RequestId &id, const AttemptResult &result);
    void updateLimit();
    void drainQueue();
    void scheduleSweep();

    GateOptions m_options;
    const std::vector<Customer> &m_customers;
    EventLoop &m_loop;
    FakeEngine m_engine;
    AdmissionQueue m_queue;
    ConcurrencyLimit m_limit;
    std::map<RequestId, ActiveAttempt> m_attempts;
    std::map<std::size_t, double> m_loadOfEntry;
    double m_load = 0;
    double m_pendingPrompt = 0;
    double m_tokenGap = 0;
    std::size_t m_running = 0;
    int m_nextId = 0;
    bool m_down = false;
    std::optional<SteadyTime> m_sweepAt;
};

} // namespace Heatherridge::PolicyModel
