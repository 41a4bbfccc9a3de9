#pragma once

#include "heatherridge_state/base/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Heatherridge::PolicyModel
{

/** Runs functions in the order of their virtual times; equal times in the order of scheduling. */
class EventLoop
{
public:
    /** The virtual time. */
    SteadyTime now() const
    {
        return m_now;
    }

    /** Calls @p work after @p delay of virtual time. */
    void after(std::chrono::microseconds delay, std::function<void()> work)
    {
        m_events.push({.at = m_now + delay, .number = m_scheduled++, .work = std::move(work)});
    }

    /** Runs all that is due up to @p end. */
    void runUntil(SteadyTime end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            // The queue hands out const references only; the event is popped right after.
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
