#include "heatherridge_transport/direct/streamprogress.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

StreamProgress::StreamProgress(std::optional<std::uint64_t> lastEventId)
    : m_lastEventId(lastEventId)
{
}

void StreamProgress::beginAttempt()
{
    m_splitter = {};
    m_isBroken = false;
    m_isRepeating = false;
    m_isPlaced = !m_hasBegun;
}

std::vector<StreamEvent> StreamProgress::feed(std::string_view bytes)
{
    std::vector<StreamEvent> newEvents;
    for (auto &event : m_splitter.feed(bytes)) {
        if (m_isBroken) {
            break;
        }
        m_isPlaced = m_isPlaced || event.id;
        const bool isDuplicate = event.id && m_lastEventId && *event.id <= *m_lastEventId;
        m_isRepeating = event.id ? isDuplicate && *event.id < *m_lastEventId : m_isRepeating;
        if (isDuplicate || m_isRepeating) {
            continue; // received from an earlier target
        }
        const bool hasGap = event.id && m_lastEventId && *event.id != *m_lastEventId + 1;
        m_isBroken = hasGap || (event.hasFields && !m_isPlaced);
        if (m_isBroken) {
            break;
        }
        m_lastEventId = event.id ? event.id : m_lastEventId;
        m_endsWithoutId = event.hasFields ? !event.id : m_endsWithoutId;
        newEvents.push_back(std::move(event));
    }
    return newEvents;
}

std::optional<std::chrono::milliseconds> StreamProgress::recordForwarded(SteadyTime now, std::chrono::milliseconds age)
{
    const auto previousEventAt = std::exchange(m_lastEventAt, now);
    if (!std::exchange(m_hasBegun, true)) {
        m_timeToFirstEvent = age;
        return std::nullopt;
    }
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(now - previousEventAt);
    m_longestPause = std::max(m_longestPause, pause);
    return pause;
}

bool StreamProgress::hasBegun() const
{
    return m_hasBegun;
}

bool StreamProgress::isBroken() const
{
    return m_isBroken;
}

std::size_t StreamProgress::bufferedBytes() const
{
    return m_splitter.bufferedBytes();
}

bool StreamProgress::isResumable() const
{
    return !m_endsWithoutId;
}

std::uint32_t StreamProgress::eventsInAttempt() const
{
    return m_splitter.completedEvents();
}

std::optional<std::string_view> StreamProgress::brokenOffReason(bool endsWithConnection) const
{
    if (m_isBroken) {
        return "an event of the stream is missing or cannot be placed";
    }
    if (m_splitter.hasPartialEvent()) {
        return "the stream ended in the middle of an event";
    }
    if (endsWithConnection && m_splitter.completedEvents() == 0) {
        return "the connection ended before the first event of the stream";
    }
    return std::nullopt;
}

std::optional<std::uint64_t> StreamProgress::lastEventId() const
{
    return m_lastEventId;
}

SteadyTime StreamProgress::lastEventAt() const
{
    return m_lastEventAt;
}

std::chrono::milliseconds StreamProgress::timeToFirstEvent() const
{
    return m_timeToFirstEvent;
}

std::chrono::milliseconds StreamProgress::longestPause() const
{
    return m_longestPause;
}

} // namespace Heatherridge
