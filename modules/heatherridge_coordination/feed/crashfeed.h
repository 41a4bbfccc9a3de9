#pragma once

#include "heatherridge_coordination/feed/reportlog.h"
#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/decisions/crashsuspects.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/**
 * Tells the other entries, through the platform's log, which requests targets have died under, and hears it from them.
 *
 * A report that the log does not take is offered again until it does, or until too many wait. Reports told twice do no
 * harm, so neither do reads from an earlier offset. One thread; moved on by tick().
 */
class CrashFeed
{
public:
    struct Options
    {
        std::chrono::milliseconds idlePollTimeout{15'000}; ///< of a read while nothing has been reported of late
        std::chrono::milliseconds busyPollTimeout{1'800}; ///< of a read after a report, so that a silent log is noticed
        std::chrono::milliseconds busyPeriod{60'000}; ///< after the last report
        std::chrono::milliseconds retryDelay{250}; ///< after a call that failed; doubles up to maxRetryDelay
        std::chrono::milliseconds maxRetryDelay{1'000};
        std::size_t maxPendingReports = 1'000; ///< reports that the log has not taken; beyond it the oldest are dropped
        std::size_t maxSentReports = 1'000; ///< reports that are told again when the log comes back from an older copy
        std::chrono::milliseconds sentReportRetention{300'000}; ///< how long after they were told
    };

    struct Events
    {
        /** The log holds @p reports, this process's own among them. */
        std::function<void(std::vector<CrashReport> reports)> received{};
        /** A call to @p what, "read" or "append", has failed, and is made again. Told once until one succeeds. */
        std::function<void(std::string_view what, const Error &error)> failed{};
        /** A record cannot be read, or a report was dropped. */
        std::function<void(std::string_view what)> lost{};
    };

    /** Uses @p log, which must outlive it. */
    CrashFeed(ReportLog &log, Options options, Events events);

    /** Tells @p report to all. */
    void report(CrashReport report);

    /** The log has failed elsewhere or answers again: a read that waits may wait on a dead connection. */
    void restartRead();

    /** The log has come back from an older copy: reads from the beginning, and tells again what it told of late. */
    void logRestored();

    /** Starts the calls that are due. Called often. */
    void tick(SteadyTime now);

private:
    void append();
    void handleAppended(std::size_t count);
    void read();
    void handlePage(std::uint64_t number, Result<ReportPage> page);
    bool isBusy() const;
    /** When a call may be made again that has failed. */
    struct Retry
    {
        bool isFailing = false; ///< the last call has failed
        std::chrono::milliseconds delay{0}; ///< after the next failure
        SteadyTime nextAttempt{};
    };

    void handleFailure(std::string_view what, const Error &error, Retry &retry);
    void handleSuccess(Retry &retry) const;

    ReportLog &m_log;
    Options m_options;
    Events m_events;
    std::deque<CrashReport> m_pendingReports; ///< not yet taken by the log
    std::size_t m_appendingCount = 0; ///< the first of them, under way
    std::deque<std::pair<SteadyTime, CrashReport>> m_sentReports; ///< taken by the log, the oldest first
    std::uint64_t m_nextOffset = 0; ///< read up to here
    std::uint64_t m_readNumber = 0; ///< of the last read; answers to earlier ones are not taken
    std::chrono::milliseconds m_pollTimeout{0};
    bool m_isReading = false;
    SteadyTime m_now{}; ///< of the last tick; answers come between ticks
    Retry m_readRetry;
    Retry m_appendRetry;
    std::optional<SteadyTime> m_lastReportAt;
    std::shared_ptr<int> m_callToken; ///< answers to calls that were made before it was renewed are dropped
};

} // namespace Heatherridge
