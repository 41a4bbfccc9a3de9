#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace Heatherridge
{

/** One stream of the log stand-in: numbered records, of which old ones expire. One thread. */
class LogStream
{
public:
    /** Most bytes of payload on one page, but for a single larger record. */
    static constexpr std::size_t MaxPageBytes = 1UL << 20U;

    /** Which records expire; 0 keeps all. */
    struct Retention
    {
        std::size_t records = 0; ///< how many are kept
        std::chrono::milliseconds age{0}; ///< for how long they are kept
    };

    /** Adds @p payload at @p now (milliseconds since the epoch) and returns its offset. */
    std::uint64_t append(std::string payload, std::int64_t now);

    /** Drops what @p retention no longer keeps at @p now. */
    void expire(Retention retention, std::int64_t now);

    /** Whether there is a record at @p from or later. */
    bool hasRecordFrom(std::uint64_t from) const;

    /** Records from @p from on, at most @p maxRecords, as the CBOR bytes of a page. */
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
