#pragma once

#include "heatherridge_coordination/feed/reportlog.h"

#include <memory>
#include <mutex>
#include <vector>

namespace Heatherridge
{

/** The records of a report log, shared by the SharedReportLogs of several processes. Thread-safe. */
class SharedRecords
{
public:
    void add(const std::vector<std::string> &records)
    {
        const std::lock_guard lock(m_mutex);
        m_records.insert(m_records.end(), records.begin(), records.end());
    }

    std::vector<std::string> recordsFrom(std::uint64_t offset) const
    {
        const std::lock_guard lock(m_mutex);
        return {m_records.begin() + static_cast<std::ptrdiff_t>(offset), m_records.end()};
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_records;
};

/** One process's access to a shared report log. Calls its callbacks immediately. */
class SharedReportLog final : public ReportLog
{
public:
    explicit SharedReportLog(std::shared_ptr<SharedRecords> records)
        : m_records(std::move(records))
    {
    }

    void append(const std::vector<std::string> &records, std::function<void(Outcome)> done) override
    {
        m_records->add(records);
        done({});
    }

    void read(std::uint64_t from, std::chrono::milliseconds, std::function<void(Result<ReportPage>)> done) override
    {
        ReportPage page{.records = m_records->recordsFrom(from)};
        page.end = from + page.records.size();
        done(std::move(page));
    }

private:
    std::shared_ptr<SharedRecords> m_records;
};

} // namespace Heatherridge
