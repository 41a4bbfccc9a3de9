#pragma once

#include "heatherridge_state/base/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** Runs functions in order of virtual time; functions due at the same time run in the order of scheduling. */
class EventLoop
{
public:
    /** Returns the current virtual time. */
    SteadyTime now() const
    {
        return m_now;
    }

    /** Schedules @p work to run after @p delay of virtual time. */
    void after(std::chrono::microseconds delay, std::function<void()> work)
    {
        m_events.push({.at = m_now + delay, .number = m_scheduled++, .work = std::move(work)});
    }

    /** Runs all functions due at or before @p end and sets the time to @p end. */
    void runUntil(SteadyTime end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            // top() returns a const reference only; the moved-from event is popped right after.
            auto event =
                std::move(const_cast<Event &>(m_events.top())); // NOLINT(cppcoreguidelines-pro-type-const-cast)
            m_events.pop();
            m_now = event.at;
            event.work();
        }
        m_now = end;
    }

private:
    struct Event
    {
        SteadyTime at{};
        std::uint64_t number = 0;
        std::function<void()> work{};

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_scheduled = 0;
    SteadyTime m_now{};
};

} // namespace Heatherridge::PolicyModel
