#pragma once

#include "heatherridge_coordination/feed/runlog.h"
#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/runrecord.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Heatherridge
{

/** What a process observes of itself. */
struct RunObservation
{
    ResourceUse use{};
    std::uint64_t handlerFailures = 0;
    std::string lastFailure{}; ///< reason of the last handler failure
};

/**
 * Leaves behind in the platform's log how the run of a process goes, and reports at the start if the run before did not
 * end in order.
 *
 * Reads the record of the process first, then writes it when the process runs, stops and has ended, and in between when
 * the use of a resource reaches a higher UsageLevel or a handler has thrown for the first time: five further writes a
 * run at most. Nothing waits for a call. A call that fails is repeated a few times and then dropped; what was dropped
 * is attempted again once the log answers again. Nothing is written before the read, which would destroy what it looks
 * for.
 *
 * Single-threaded; driven by tick().
 */
class RunRecorder
{
public:
    struct Options
    {
        ProcessName process{};
        Incarnation run{};
        WallTime startedAt{};
        std::string version{}; ///< of the program
        /** Delay of the first call after the first tick, and of calls after an outage or a restore of the log.
         * Different in each process: all of them start, or find the log again, at the same time. */
        std::chrono::milliseconds spread{0};
        std::chrono::milliseconds samplePeriod{1'000}; ///< between two observations
        std::chrono::milliseconds minWritePeriod{10'000}; ///< between two writes, except those at the stop
        std::chrono::milliseconds retryDelay{500}; ///< after the first failure of a call; doubles with each further one
        int maxTries = 7; ///< of a call; about half a minute
    };

    struct Events
    {
        /** Called when the run before this one, which left @p record behind, did not end in order. */
        std::function<void(const RunRecord &record)> previousUnfinished{};
        /** Called when a call of kind @p what, "read" or "write", has failed too often, or when a record that was read
         * cannot be decoded. */
        std::function<void(std::string_view what, const Error &error)> dropped{};
    };

    /** @p log must outlive this object. @p observe is called on its thread. */
    RunRecorder(RunLog &log, Options options, std::function<RunObservation()> observe, Events events);

    /** Observes the process and starts the call that is due at @p now. Must be called often. */
    void tick(SteadyTime now);

    /** Called when the process is told to stop. */
    void beginStop();

    /** Called when the process has finished its work, shortly before its end. */
    void end();

    /** Called when the log answers again after a time in which it did not. */
    void logRegained();

    /** Called after the log was restored from an older copy, which may hold an older record. */
    void logRestored();

private:
    void observe();
    void startDueCall();
    void read();
    void handleRead(const Result<std::optional<std::string>> &found);
    void reportPrevious(const std::string &bytes);
    void write();
    void handleWritten(const Outcome &outcome);
    void handleFailure(std::string_view what, const Error &error);
    void setState(RunState state);
    /** Makes the next call due at @p time, unless it is due earlier. */
    void requestCall(SteadyTime time);
    std::weak_ptr<int> beginCall();

    RunLog &m_log;
    Options m_options;
    std::function<RunObservation()> m_observe;
    Events m_events;
    RunState m_state = RunState::Running;
    RunObservation m_observation;
    UsageLevel m_memoryLevel = UsageLevel::Ordinary; ///< highest so far
    UsageLevel m_descriptorLevel = UsageLevel::Ordinary; ///< highest so far
    bool m_hasHandlerFailed = false;
    bool m_hasStarted = false; ///< the first tick has come
    bool m_hasRead = false; ///< the record of the run before, so that calls write from now on
    bool m_isCalling = false;
    bool m_isDropped = false; ///< the last call has failed too often
    int m_failures = 0; ///< in a row
    SteadyTime m_now{}; ///< of the last tick; answers arrive between ticks
    std::optional<SteadyTime> m_nextCall; ///< when the next call is due; none if there is nothing to do
    SteadyTime m_nextObservation{};
    SteadyTime m_nextWrite{}; ///< earliest time of another write, except those at the stop
    std::shared_ptr<int> m_callToken; ///< its end drops the answers to all calls
};

} // namespace Heatherridge
