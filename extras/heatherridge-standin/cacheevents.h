#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>

namespace Heatherridge
{

/** The events of an engine's prefix cache: delayed, with gaps, and kept for a limited time. Not thread-safe. */
class CacheEvents
{
public:
    /** Maximum number of events kept; older ones are dropped. */
    static constexpr std::size_t MaxEvents = 10'000;

    /** Adds an event at @p now (milliseconds since the epoch); a @p dropped one leaves a gap in the numbers. */
    void add(std::uint64_t block, bool stored, std::int64_t now, bool dropped);

    /** Returns the events numbered @p from and up that are at least @p lag milliseconds old at @p now. */
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
