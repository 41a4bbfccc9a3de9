#pragma once

#include "heatherridge_coordination/config/retrybackoff.h"
#include "heatherridge_coordination/logservice.h"

#include <memory>
#include <optional>

namespace Heatherridge
{

/** Who takes what a LogReader reads. */
class LogReaderClient
{
public:
    virtual ~LogReaderClient() = default;

    /** The next offset to read from. */
    virtual LogOffset nextReadOffset() const = 0;

    /** Takes a page read in answer to nextReadOffset(); empty when nothing came within the waiting time. */
    virtual void handlePage(const LogPage &page) = 0;
};

/** How a LogReader reads. */
struct LogReaderOptions
{
    StreamName stream = ControlStream;
    std::size_t maxRecordsPerPage = 64; ///< most records a read
    /** How long the log may hold a read open for a new record. The end of each read also renews the knowledge that
     * nothing newer exists, so it is well below the time after which a state counts as stale. */
    std::chrono::milliseconds longPollTimeout{1'000};
    std::chrono::milliseconds initialBackoff{100}; ///< pause after the first failure
    std::chrono::milliseconds maxBackoff{5'000}; ///< bound of the pause, and so of the delay after an outage
};

/** Reads of a LogReader, by how they ended. */
struct LogReaderCounters
{
    std::uint64_t pages = 0;
    std::uint64_t failures = 0;
};

/**
 * Follows one stream by long polling, one read at a time, with growing pauses while the log fails.
 *
 * Does nothing by itself: tick() starts reads that are due. The service and the client must outlive it; answers that
 * come after its end are dropped. One thread, the one on which the service answers.
 */
class LogReader
{
public:
    LogReader(LogService &service, LogReaderClient &client, RandomSource &random, LogReaderOptions options = {});

    /** Whether reads are started; at first they are. A read under way when this is switched off is still taken. */
    void setActive(bool active);

    /** Starts a read when one is due at @p now. */
    void tick(SteadyTime now);

    /** Whether the last read that ended was answered; nothing before the first one ended. */
    std::optional<bool> isReachable() const;

    /** Counters since the start. */
    const LogReaderCounters &counters() const;

private:
    void read();
    void handleResult(const Result<LogPage> &result);

    LogService &m_service;
    LogReaderClient &m_client;
    RandomSource &m_random;
    LogReaderOptions m_options;
    RetryBackoff m_retryBackoff;
    bool m_active = true;
    bool m_isReading = false;
    bool m_isBackoffPending = false; ///< the last read failed and its pause has not been drawn yet
    std::optional<bool> m_reachable;
    SteadyTime m_nextAttemptAt{};
    LogReaderCounters m_counters;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< answers hold a weak pointer to it
};

} // namespace Heatherridge
