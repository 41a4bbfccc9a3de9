#include "cacheevents.h"

namespace Heatherridge
{

void CacheEvents::add(std::uint64_t block, bool stored, std::int64_t now, bool dropped)
{
    ++m_lastNumber;
    if (dropped) {
        return;
    }
    m_events.push_back({.number = m_lastNumber, .time = now, .block = block, .stored = stored});
    if (m_events.size() > MaxEvents) {
        m_events.pop_front();
    }
}

nlohmann::json CacheEvents::page(std::uint64_t from, std::int64_t now, std::int64_t lag) const
{
    auto events = nlohmann::json::array();
    std::uint64_t last = 0;
    for (const auto &event : m_events) {
        if (event.time + lag > now) {
            break;
        }
        last = event.number;
        if (event.number >= from) {
            events.push_back(
                {{"n", event.number}, {"kind", event.stored ? "stored" : "removed"}, {"block", event.block}});
        }
    }
    return {{"last", last}, {"events", std::move(events)}};
}

} // namespace Heatherridge
