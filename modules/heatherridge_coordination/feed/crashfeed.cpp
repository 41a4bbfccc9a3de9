#include "heatherridge_coordination/feed/crashfeed.h"

#include "heatherridge_protocol/crashreportcodec.h"

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

void CrashFeed::report(CrashReport report)
{
    if (m_pending.size() - m_appending >= m_options.mostPending) {
        m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(m_appending));
        m_events.lost("the log takes no reports, and too many wait");
    }
    m_pending.push_back(std::move(report));
    m_lastReport = m_now;
    if (m_readWait > m_options.busyWait) {
        restartRead();
    }
}

void CrashFeed::restartRead()
{
    m_isReading = false;
    m_readRetry.next = m_now;
}

void CrashFeed::logRestored()
{
    m_callToken = std::make_shared<int>(0);
    m_appending = 0;
    for (auto told = m_told.rbegin(); told != m_told.rend(); ++told) {
        if (m_now - told->first < m_options.toldMemory) {
            m_pending.push_front(std::move(told->second));
        }
    }
    m_told.clear();
    m_position = 0;
    restartRead();
}

void CrashFeed::tick(SteadyTime now)
{
    m_now = now;
    if (m_appending == 0 && !m_pending.empty() && now >= m_appendRetry.next) {
        append();
    }
    if (!m_isReading && now >= m_readRetry.next) {
        read();
    }
}

void CrashFeed::append()
{
    std::vector<std::string> records;
    records.reserve(m_pending.size());
    for (const auto &report : m_pending) {
        records.push_back(encode(report));
    }
    m_appending = records.size();
    m_log.append(records, [this, token = std::weak_ptr(m_callToken)](const Outcome &outcome) {
        if (token.expired()) {
            return;
        }
        const auto count = std::exchange(m_appending, 0);
        if (const auto *error = errorIn(outcome)) {
            failed("append", *error, m_appendRetry);
            return;
        }
        succeeded(m_appendRetry);
        appended(count);
    });
}

void CrashFeed::appended(std::size_t count)
{
    for (std::size_t taken = 0; taken < count; ++taken) {
        m_told.emplace_back(m_now, std::move(m_pending.front()));
        m_pending.pop_front();
    }
    while (m_told.size() > m_options.mostTold) {
        m_told.pop_front();
    }
}

void CrashFeed::read()
{
    m_isReading = true;
    m_readWait = isBusy() ? m_options.busyWait : m_options.idleWait;
    m_log.read(m_position, m_readWait,
               [this, number = ++m_readNumber, token = std::weak_ptr(m_callToken)](Result<ReportPage> page) {
                   if (!token.expired()) {
                       takePage(number, std::move(page));
                   }
               });
}

void CrashFeed::takePage(std::uint64_t number, Result<ReportPage> page)
{
    if (number != m_readNumber) {
        return;
    }
    m_isReading = false;
    if (const auto *error = errorIn(page)) {
        failed("read", *error, m_readRetry);
        return;
    }
    succeeded(m_readRetry);
    auto &[records, end] = std::get<ReportPage>(page);
    if (records.empty() && end != m_position) {
        m_readRetry.next = m_now + m_options.retryPause; // the log no longer holds what this process asked for
    }
    m_position = end;
    std::vector<CrashReport> reports;
    for (const auto &record : records) {
        auto report = decodeCrashReport(record);
        if (const auto *error = errorIn(report)) {
            m_events.lost(error->detail);
            continue;
        }
        reports.push_back(std::move(std::get<CrashReport>(report)));
    }
    if (!reports.empty()) {
        m_lastReport = m_now;
        m_events.learnt(std::move(reports));
    }
}

bool CrashFeed::isBusy() const
{
    return m_lastReport && m_now - *m_lastReport < m_options.busyTime;
}

void CrashFeed::failed(std::string_view what, const Error &error, Retry &retry)
{
    const auto pause = std::max(retry.pause, m_options.retryPause);
    retry.next = m_now + pause;
    retry.pause = std::min(pause * 2, m_options.longestRetryPause);
    if (!std::exchange(retry.isFailing, true)) {
        m_events.failed(what, error);
    }
}

void CrashFeed::succeeded(Retry &retry) const
{
    retry.isFailing = false;
    retry.pause = m_options.retryPause;
}

} // namespace Heatherridge
