#include "heatherridge_coordination/feed/crashfeed.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

CrashFeed::CrashFeed(ReportLog &log, Options options, Events events)
    : m_log(log)
    , m_options(options)
    , m_events(std::move(events))
    , m_callToken(std::make_shared<int>(0))
{
}

void CrashFeed::report(CrashRecord record)
{
    if (m_pendingReports.size() - m_appendingCount >= m_options.maxPendingReports) {
        m_pendingReports.erase(m_pendingReports.begin() + static_cast<std::ptrdiff_t>(m_appendingCount));
        m_events.lost("the log accepts no reports and too many are pending; dropped the oldest one");
    }
    m_pendingReports.push_back(std::move(record));
    m_lastReportAt = m_now;
    if (m_pollTimeout > m_options.busyPollTimeout) {
        restartRead();
    }
}

void CrashFeed::restartRead()
{
    m_isReading = false;
    m_readRetry.nextAttempt = m_now;
}

void CrashFeed::logRestored()
{
    m_callToken = std::make_shared<int>(0);
    m_appendingCount = 0;
    for (auto sent = m_sentReports.rbegin(); sent != m_sentReports.rend(); ++sent) {
        if (m_now - sent->first < m_options.sentReportRetention) {
            m_pendingReports.push_front(std::move(sent->second));
        }
    }
    m_sentReports.clear();
    m_nextOffset = 0;
    restartRead();
}

void CrashFeed::tick(SteadyTime now)
{
    m_now = now;
    if (m_appendingCount == 0 && !m_pendingReports.empty() && now >= m_appendRetry.nextAttempt) {
        append();
    }
    if (!m_isReading && now >= m_readRetry.nextAttempt) {
        read();
    }
}

void CrashFeed::append()
{
    std::vector<std::string> records;
    records.reserve(m_pendingReports.size());
    for (const auto &report : m_pendingReports) {
        records.push_back(encodeCrashRecord(report));
    }
    m_appendingCount = records.size();
    m_log.append(records, [this, token = std::weak_ptr(m_callToken)](const Outcome &outcome) {
        if (token.expired()) {
            return;
        }
        const auto count = std::exchange(m_appendingCount, 0);
        if (const auto *error = errorIn(outcome)) {
            handleFailure("append", *error, m_appendRetry);
            return;
        }
        handleSuccess(m_appendRetry);
        handleAppended(count);
    });
}

void CrashFeed::handleAppended(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        m_sentReports.emplace_back(m_now, std::move(m_pendingReports.front()));
        m_pendingReports.pop_front();
    }
    while (m_sentReports.size() > m_options.maxSentReports) {
        m_sentReports.pop_front();
    }
}

void CrashFeed::read()
{
    m_isReading = true;
    m_pollTimeout = isBusy() ? m_options.busyPollTimeout : m_options.idlePollTimeout;
    m_log.read(m_nextOffset, m_pollTimeout,
               [this, number = ++m_readNumber, token = std::weak_ptr(m_callToken)](Result<ReportPage> page) {
                   if (!token.expired()) {
                       handlePage(number, std::move(page));
                   }
               });
}

void CrashFeed::handlePage(std::uint64_t number, Result<ReportPage> page)
{
    if (number != m_readNumber) {
        return;
    }
    m_isReading = false;
    if (const auto *error = errorIn(page)) {
        handleFailure("read", *error, m_readRetry);
        return;
    }
    handleSuccess(m_readRetry);
    auto &[records, end] = std::get<ReportPage>(page);
    if (records.empty() && end != m_nextOffset) {
        m_readRetry.nextAttempt = m_now + m_options.retryDelay; // the log does not hold the requested offset
    }
    m_nextOffset = end;
    std::vector<CrashRecord> reports;
    for (const auto &record : records) {
        auto report = decodeCrashRecord(record);
        if (const auto *error = errorIn(report)) {
            m_events.lost(error->detail);
            continue;
        }
        reports.push_back(std::move(std::get<CrashRecord>(report)));
    }
    if (!reports.empty()) {
        m_lastReportAt = m_now;
        m_events.received(std::move(reports));
    }
}

bool CrashFeed::isBusy() const
{
    return m_lastReportAt && m_now - *m_lastReportAt < m_options.busyPeriod;
}

void CrashFeed::handleFailure(std::string_view what, const Error &error, Retry &retry)
{
    const auto delay = std::max(retry.delay, m_options.retryDelay);
    retry.nextAttempt = m_now + delay;
    retry.delay = std::min(delay * 2, m_options.maxRetryDelay);
    if (!std::exchange(retry.isFailing, true)) {
        m_events.failed(what, error);
    }
}

void CrashFeed::handleSuccess(Retry &retry) const
{
    retry.isFailing = false;
    retry.delay = m_options.retryDelay;
}

} // namespace Heatherridge
