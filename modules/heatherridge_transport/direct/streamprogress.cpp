#include "heatherridge_transport/direct/streamprogress.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

StreamProgress::StreamProgress(std::optional<std::uint64_t> lastEvent)
    : m_lastEvent(lastEvent)
{
}

void StreamProgress::beginAttempt()
{
    m_splitter = {};
}

std::vector<StreamEvent> StreamProgress::take(std::string_view bytes)
{
    std::vector<StreamEvent> fresh;
    bool hasBegun = m_hasBegun;
    for (auto &event : m_splitter.feed(bytes)) {
        if (m_isBroken) {
            break;
        }
        const bool isKnown = event.id && m_lastEvent && *event.id <= *m_lastEvent;
        if (isKnown) {
            continue; // the caller has it from an earlier target
        }
        m_isBroken = event.id && m_lastEvent && hasBegun && *event.id != *m_lastEvent + 1;
        if (m_isBroken) {
            break;
        }
        m_lastEvent = event.id ? event.id : m_lastEvent;
        hasBegun = true;
        fresh.push_back(std::move(event));
    }
    return fresh;
}

std::optional<std::chrono::milliseconds> StreamProgress::passedOn(SteadyTime now, std::chrono::milliseconds age)
{
    const auto before = std::exchange(m_lastEventAt, now);
    if (!std::exchange(m_hasBegun, true)) {
        m_firstEventAfter = age;
        return std::nullopt;
    }
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(now - before);
    m_longestPause = std::max(m_longestPause, pause);
    return pause;
}

bool StreamProgress::hasBegun() const
{
    return m_hasBegun;
}

bool StreamProgress::isBroken() const
{
    return m_isBroken || m_splitter.hasPartialEvent();
}

std::optional<std::uint64_t> StreamProgress::lastEvent() const
{
    return m_lastEvent;
}

SteadyTime StreamProgress::lastEventAt() const
{
    return m_lastEventAt;
}

std::chrono::milliseconds StreamProgress::firstEventAfter() const
{
    return m_firstEventAfter;
}

std::chrono::milliseconds StreamProgress::longestPause() const
{
    return m_longestPause;
}

} // namespace Heatherridge
