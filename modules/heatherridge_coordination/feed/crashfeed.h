#pragma once

#include "heatherridge_coordination/feed/reportlog.h"
#include "heatherridge_protocol/crashreportcodec.h"
#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/**
 * Exchanges crash reports with the other entry processes through the platform's log: which requests and prompt
 * parts were at a target when it died.
 *
 * An append that fails is retried until the log accepts it, or until too many reports are pending. Duplicate reports
 * are harmless, and so are reads from an earlier offset. Single-threaded; driven by tick().
 */
class CrashFeed
{
public:
    struct Options
    {
        std::chrono::milliseconds idlePollTimeout{15'000}; ///< of a read when there was no recent report
        std::chrono::milliseconds busyPollTimeout{1'800}; ///< of a read after a report, to detect a silent log soon
        std::chrono::milliseconds busyPeriod{60'000}; ///< after the last report
        std::chrono::milliseconds retryDelay{250}; ///< after a failed call; doubles up to maxRetryDelay
        std::chrono::milliseconds maxRetryDelay{1'000};
        std::size_t maxPendingReports = 1'000; ///< not yet accepted; beyond this the oldest are dropped
        std::size_t maxSentReports = 1'000; ///< kept to be resent after the log is restored
        std::chrono::milliseconds sentReportRetention{300'000}; ///< how long sent reports are kept for that
    };

    struct Events
    {
        /** Called with reports read from the log, including this process's own. */
        std::function<void(std::vector<CrashRecord> reports)> received{};
        /** Called when a call of kind @p what, "read" or "append", failed; it is retried. Called once until one
         * succeeds. */
        std::function<void(std::string_view what, const Error &error)> failed{};
        /** Called when a record cannot be decoded or a report was dropped. */
        std::function<void(std::string_view what)> lost{};
    };

    /** Uses @p log, which must outlive it. */
    CrashFeed(ReportLog &log, Options options, Events events);

    /** Publishes @p record to all entry processes. */
    void report(CrashRecord record);

    /** Restarts the read, which may be waiting on a dead connection. Called when another call to the log has failed or
     * the log answers again. */
    void restartRead();

    /** Called after the log was restored from an older copy: reads from the beginning and resends recent reports. */
    void logRestored();

    /** Starts the calls due at @p now. Must be called often. */
    void tick(SteadyTime now);

private:
    void append();
    void handleAppended(std::size_t count);
    void read();
    void handlePage(std::uint64_t number, Result<ReportPage> page);
    bool isBusy() const;
    /** Retry state of one kind of call. */
    struct Retry
    {
        bool isFailing = false; ///< the last call failed
        std::chrono::milliseconds delay{0}; ///< after the next failure
        SteadyTime nextAttempt{};
    };

    void handleFailure(std::string_view what, const Error &error, Retry &retry);
    void handleSuccess(Retry &retry) const;

    ReportLog &m_log;
    Options m_options;
    Events m_events;
    std::deque<CrashRecord> m_pendingReports; ///< not yet accepted by the log
    std::size_t m_appendingCount = 0; ///< the number of pending reports, from the front, in the append in progress
    std::deque<std::pair<SteadyTime, CrashRecord>> m_sentReports; ///< accepted by the log, oldest first
    std::uint64_t m_nextOffset = 0; ///< the next offset to read
    std::uint64_t m_readNumber = 0; ///< of the last read; answers to earlier ones are ignored
    std::chrono::milliseconds m_pollTimeout{0};
    bool m_isReading = false;
    SteadyTime m_now{}; ///< of the last tick; answers arrive between ticks
    Retry m_readRetry;
    Retry m_appendRetry;
    std::optional<SteadyTime> m_lastReportAt;
    std::shared_ptr<int> m_callToken; ///< renewed to drop the answers to all earlier calls
};

} // namespace Heatherridge
