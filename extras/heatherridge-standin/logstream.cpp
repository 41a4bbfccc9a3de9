#include "logstream.h"

#include <utility>

namespace Heatherridge
{

std::uint64_t LogStream::append(std::string payload, std::int64_t now)
{
    m_records.push_back({.appended = now, .payload = std::move(payload)});
    return lastOffset();
}

void LogStream::expire(Retention retention, std::int64_t now)
{
    const auto exceedsCount = [&] { return retention.records != 0 && m_records.size() > retention.records; };
    const auto exceedsAge = [&] {
        return retention.age.count() != 0 && now - m_records.front().appended > retention.age.count();
    };
    while (!m_records.empty() && (exceedsCount() || exceedsAge())) {
        m_records.pop_front();
        ++m_first;
    }
}

bool LogStream::hasRecordFrom(std::uint64_t from) const
{
    return lastOffset() >= from;
}

std::string LogStream::page(std::uint64_t from, std::size_t maxRecords) const
{
    auto records = nlohmann::json::array();
    std::size_t bytes = 0;
    // A page from before the oldest record is empty; `first` shows the reader that records have expired.
    for (auto offset = from; offset >= m_first && offset <= lastOffset() && records.size() < maxRecords; ++offset) {
        const auto &record = m_records[offset - m_first];
        bytes += record.payload.size();
        if (bytes > MaxPageBytes && !records.empty()) {
            break;
        }
        const std::vector<std::uint8_t> payload(record.payload.begin(), record.payload.end());
        records.push_back({{"o", offset}, {"t", record.appended}, {"p", nlohmann::json::binary(payload)}});
    }
    std::string text;
    nlohmann::json::to_cbor({{"first", m_first}, {"last", lastOffset()}, {"records", std::move(records)}}, text);
    return text;
}

std::uint64_t LogStream::lastOffset() const
{
    return m_first + m_records.size() - 1;
}

} // namespace Heatherridge
