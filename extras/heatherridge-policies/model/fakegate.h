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
    double ofEntry = 0; ///< the asking entry's part
    double capacity = 0; ///< load at which the gate is full
    double pressure = 1;
    double pendingPrompt = 0;
    double warmth = 1;
    std::chrono::microseconds between{}; ///< smoothed time between tokens
};

/** How one attempt ended at the gate. */
struct AttemptEnd
{
    std::optional<Error> error{};
    EngineDone done{};
    SteadyTime started{};
};

/** The process beside one engine: admission queue, concurrency limit and fault injection. */
class FakeGate
{
public:
    using Ended = std::function<void(const AttemptEnd &)>;

    FakeGate(GateOptions options, EngineOptions engine, const std::vector<Customer> &customers, EventLoop &loop);

    /** An attempt of @p entry arrives. @p ended is called exactly once. */
    void offer(const Job &job, std::size_t entry, Ended ended);

    /** Stops or starts host and engine; what runs or waits fails. */
    void setDown(bool down);

    /** What this gate reports to @p entry now. */
    GateReport reportFor(std::size_t entry) const;

    /** Whether @p entry has work here, whose answer's frames carry reports. */
    bool servesEntry(std::size_t entry) const
    {
        const auto part = m_loadOfEntry.find(entry);
        return part != m_loadOfEntry.end() && part->second > 0.5;
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
    struct AttemptOutcome
    {
        Job job{};
        std::size_t entry = 0;
        Ended ended{};
        SteadyTime started{};
        bool running = false;
    };

    void start(const RequestId &id);
    void finish(const RequestId &id, const EngineDone &done);
    void end(const RequestId &id, const AttemptEnd &how);
    void updateLimit();
    void pump();
    void watchSweep();

    GateOptions m_options;
    const std::vector<Customer> &m_customers;
    EventLoop &m_loop;
    FakeEngine m_engine;
    AdmissionQueue m_queue;
    ConcurrencyLimit m_limit;
    std::map<RequestId, AttemptOutcome> m_attempts;
    std::map<std::size_t, double> m_loadOfEntry;
    double m_load = 0;
    double m_pendingPrompt = 0;
    double m_between = 0;
    std::size_t m_running = 0;
    int m_next = 0;
    bool m_down = false;
    std::optional<SteadyTime> m_sweepAt;
};

} // namespace Heatherridge::PolicyModel
