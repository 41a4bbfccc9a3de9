#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>

namespace Heatherridge
{

/** What an engine tells of its prefix cache: late, with gaps, and only for a while. One thread. */
class CacheEvents
{
public:
    /** Events kept; older ones are gone. */
    static constexpr std::size_t MaxEvents = 10'000;

    /** Adds an event at @p now (milliseconds since the epoch); a dropped one leaves a gap in the numbers. */
    void add(std::uint64_t block, bool stored, std::int64_t now, bool dropped);

    /** Events from number @p from on that are older than @p lag milliseconds at @p now. */
    nlohmann::json page(std::uint64_t from, std::int64_t now, std::int64_t lag) const;

private:
    struct Event
    {
        std::uint64_t number = 0;
        std::int64_t time = 0;
        std::uint64_t block = 0;
        bool stored = true;
    };

    std::uint64_t m_lastNumber = 0;
    std::deque<Event> m_events;
};

} // namespace Heatherridge
