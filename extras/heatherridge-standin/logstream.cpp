#include "logstream.h"

#include <utility>

namespace Heatherridge
{

std::uint64_t LogStream::append(std::string payload, std::int64_t now)
{
    m_records.push_back({.appended = now, .payload = std::move(payload)});
    return last();
}

void LogStream::expire(Retention retention, std::int64_t now)
{
    const auto tooMany = [&] { return retention.records != 0 && m_records.size() > retention.records; };
    const auto tooOld = [&] {
        return retention.age.count() != 0 && now - m_records.front().appended > retention.age.count();
    };
    while (!m_records.empty() && (tooMany() || tooOld())) {
        m_records.pop_front();
        ++m_first;
    }
}

bool LogStream::reaches(std::uint64_t from) const
{
    return last() >= from;
}

std::string LogStream::page(std::uint64_t from, std::size_t most) const
{
    auto records = nlohmann::json::array();
    std::size_t bytes = 0;
    // Below the oldest record kept the page stays empty: `first` tells the reader that records are gone.
    for (auto offset = from; offset >= m_first && offset <= last() && records.size() < most; ++offset) {
        const auto &record = m_records[offset - m_first];
        bytes += record.payload.size();
        if (bytes > PageBytes && !records.empty()) {
            break;
        }
        const std::vector<std::uint8_t> payload(record.payload.begin(), record.payload.end());
        records.push_back({{"o", offset}, {"t", record.appended}, {"p", nlohmann::json::binary(payload)}});
    }
    std::string text;
    nlohmann::json::to_cbor({{"first", m_first}, {"last", last()}, {"records", std::move(records)}}, text);
    return text;
}

std::uint64_t LogStream::last() const
{
    return m_first + m_records.size() - 1;
}

} // namespace Heatherridge
