#pragma once

#include "heatherridge_coordination/config/retrybackoff.h"
#include "heatherridge_coordination/logservice.h"

#include <memory>
#include <optional>

namespace Heatherridge
{

/** Receives the pages of a LogReader. */
class LogReaderClient
{
public:
    virtual ~LogReaderClient() = default;

    /** Returns the offset to read from next. */
    virtual LogOffset nextReadOffset() const = 0;

    /** Handles a page read from nextReadOffset() on; empty when no record arrived within the long-poll timeout. */
    virtual void handlePage(const LogPage &page) = 0;
};

/** Options of a LogReader. */
struct LogReaderOptions
{
    StreamName stream = ControlStream;
    std::size_t maxRecordsPerPage = 64;
    /** How long the log may hold a read open for a new record. The end of each read also confirms that nothing newer
     * exists, so this is well below the time after which a state counts as stale. */
    std::chrono::milliseconds longPollTimeout{1'000};
    std::chrono::milliseconds initialBackoff{100}; ///< delay after the first failure
    std::chrono::milliseconds maxBackoff{5'000}; ///< limit of the delay, and so of the time to recover after an outage
};

/** Reads of a LogReader, by outcome. */
struct LogReaderCounters
{
    std::uint64_t pages = 0;
    std::uint64_t failures = 0;
};

/**
 * Follows one stream by long polling, one read at a time, with exponential backoff while the log fails.
 *
 * tick() starts the reads that are due; nothing happens without it, except that a page with records is followed by the
 * next read at once. The service and the client must outlive the reader; answers that arrive after its destruction are
 * dropped. Single-threaded, on the thread on which the service answers.
 */
class LogReader
{
public:
    LogReader(LogService &service, LogReaderClient &client, RandomSource &random, LogReaderOptions options = {});

    /** Sets whether reads are started; initially true. The result of a read in progress is still handled when set to
     * false. */
    void setActive(bool active);

    /** Starts a read if one is due at @p now. */
    void tick(SteadyTime now);

    /** Returns whether the last completed read was answered; empty before the first one has completed. */
    std::optional<bool> isReachable() const;

    /** Returns the counters since the start. */
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
    bool m_isBackoffPending = false; ///< the last read failed and its delay has not been drawn yet
    std::optional<bool> m_reachable;
    SteadyTime m_nextAttemptAt{};
    LogReaderCounters m_counters;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< callbacks hold a weak pointer to it
};

} // namespace Heatherridge
