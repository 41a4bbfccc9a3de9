#include "heatherridge_coordination/config/logreader.h"

namespace Heatherridge
{

LogReader::LogReader(LogService &service, LogReaderClient &client, RandomSource &random, LogReaderOptions options)
    : m_service(service)
    , m_client(client)
    , m_random(random)
    , m_options(std::move(options))
    , m_retryBackoff(m_options.initialBackoff, m_options.maxBackoff)
{
}

void LogReader::setActive(bool active)
{
    m_active = active;
}

void LogReader::tick(SteadyTime now)
{
    if (m_isBackoffPending) {
        m_isBackoffPending = false;
        m_nextAttemptAt = now + m_retryBackoff.nextDelay(m_random);
    }
    if (m_active && !m_isReading && now >= m_nextAttemptAt) {
        read();
    }
}

void LogReader::read()
{
    m_isReading = true;
    // The first read, and the first one after a failure, does not wait for a new record: it reports where the stream
    // ends, and a process that starts or was cut off must not stay unconfirmed for the duration of a long poll.
    const auto wait = m_reachable.value_or(false) ? m_options.longPollTimeout : std::chrono::milliseconds(0);
    m_service.read(m_options.stream, m_client.nextReadOffset(), m_options.maxRecordsPerPage, wait,
                   [this, alive = std::weak_ptr(m_alive)](const Result<LogPage> &result) {
                       if (!alive.expired()) {
                           handleResult(result);
                       }
                   });
}

void LogReader::handleResult(const Result<LogPage> &result)
{
    m_isReading = false;
    const auto *page = std::get_if<LogPage>(&result);
    m_reachable = page != nullptr;
    if (page == nullptr) {
        ++m_counters.failures;
        m_isBackoffPending = true;
        return;
    }
    ++m_counters.pages;
    m_retryBackoff.reset();
    m_client.handlePage(*page);
    // Reads on at once so that a change does not wait for the next tick. After an empty page tick() paces the reads, so
    // that a log that answers immediately instead of waiting is not polled in a tight loop.
    if (m_active && !page->records.empty()) {
        read();
    }
}

std::optional<bool> LogReader::isReachable() const
{
    return m_reachable;
}

const LogReaderCounters &LogReader::counters() const
{
    return m_counters;
}

} // namespace Heatherridge
