#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace Heatherridge
{

/** One stream of the log stand-in: numbered records, the oldest of which expire. Not thread-safe. */
class LogStream
{
public:
    /** Maximum payload bytes of one page, unless its only record is larger. */
    static constexpr std::size_t MaxPageBytes = 1UL << 20U;

    /** Limits beyond which records expire; 0 keeps all. */
    struct Retention
    {
        std::size_t records = 0; ///< maximum number of records kept
        std::chrono::milliseconds age{0}; ///< maximum age of the records kept
    };

    /** Adds @p payload at @p now (milliseconds since the epoch) and returns its offset. */
    std::uint64_t append(std::string payload, std::int64_t now);

    /** Removes the records that exceed @p retention at @p now. */
    void expire(Retention retention, std::int64_t now);

    /** Returns whether there is a record at offset @p from or later. */
    bool hasRecordFrom(std::uint64_t from) const;

    /** Returns a page of at most @p maxRecords records from offset @p from, encoded as CBOR. */
    std::string page(std::uint64_t from, std::size_t maxRecords) const;

private:
    struct Record
    {
        std::int64_t appended = 0;
        std::string payload{};
    };

    std::uint64_t lastOffset() const;

    std::uint64_t m_first = 1; // offset of the oldest record kept
    std::deque<Record> m_records;
};

} // namespace Heatherridge
