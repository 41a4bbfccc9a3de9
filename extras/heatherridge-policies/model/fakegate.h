#pragma once

#include "fakeengine.h"

#include <map>
#include <memory>

namespace Heatherridge::PolicyModel
{

/** Selects which target-side mechanisms are enabled. */
struct GateOptions
{
    bool admission = true; ///< false: the engine receives every request, in the order of arrival
    bool adaptive = true; ///< false: fixedLimit applies
    std::size_t fixedLimit = 64;
    AdmissionOptions queue{};
    ConcurrencyOptions limit{.initialLimit = 16};
};

/** State that a gate reports to an entry with each answer and each heartbeat. */
struct GateReport
{
    double load = 0; ///< cost of running and queued requests from all entries
    double entryLoad = 0; ///< the part of load that comes from the receiving entry
    double capacity = 0; ///< load beyond which the gate has no free capacity
    double pressure = 1;
    double pendingPrompt = 0;
    double warmth = 1;
    std::chrono::microseconds tokenGap{}; ///< smoothed time between tokens
};

/** Result of one attempt at the gate. */
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

    /** Accepts an attempt from @p entry. Calls @p onCompleted exactly once. */
    void offer(const Job &job, std::size_t entry, CompletionHandler onCompleted);

    /** Stops or starts the host and its engine; running and queued attempts fail. */
    void setDown(bool down);

    /** Returns the current report for @p entry. */
    GateReport reportFor(std::size_t entry) const;

    /** Returns whether @p entry has attempts here, so that frames of their answers carry reports to it. */
    bool servesEntry(std::size_t entry) const
    {
        const auto entryLoad = m_loadOfEntry.find(entry);
        return entryLoad != m_loadOfEntry.end() && entryLoad->second > 0.5;
    }

    /** Returns the engine, for fault injection and for oracle placement. */
    FakeEngine &engine()
    {
        return m_engine;
    }

    /** Returns whether the host is up. */
    bool isUp() const
    {
        return !m_down;
    }

    /** Returns the concurrency limit in effect. */
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
