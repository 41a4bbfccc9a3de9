#pragma once

#include "heatherridge_coordination/answers/eventstreamsplitter.h"
#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** How far a caller's stream has come, over all targets that have had a part in it, and how evenly. One thread. */
class StreamProgress
{
public:
    /** @param lastEventId that the caller has already */
    explicit StreamProgress(std::optional<std::uint64_t> lastEventId);

    /** A target begins to send, behind lastEvent(). */
    void beginAttempt();

    /** The events in @p bytes that the caller does not have. An event that is missing before one breaks the stream. */
    std::vector<StreamEvent> feed(std::string_view bytes);

    /** An event goes to the caller @p age after its request came. @returns the pause before it; nothing for the first
     */
    std::optional<std::chrono::milliseconds> recordForwarded(SteadyTime now, std::chrono::milliseconds age);

    /** Whether the caller has a part of the stream. */
    bool hasBegun() const;

    /** Whether an event is missing, or the present attempt has stopped within one. */
    bool isBroken() const;

    /** The caller has the stream up to here. */
    std::optional<std::uint64_t> lastEventId() const;

    /** When the last event went to the caller. */
    SteadyTime lastEventAt() const;

    /** From the request to the first event. */
    std::chrono::milliseconds timeToFirstEvent() const;

    /** Between two events. */
    std::chrono::milliseconds longestPause() const;

private:
    EventStreamSplitter m_splitter;
    std::optional<std::uint64_t> m_lastEventId;
    bool m_hasBegun = false;
    bool m_isBroken = false; ///< an event is missing
    SteadyTime m_lastEventAt{};
    std::chrono::milliseconds m_timeToFirstEvent{0};
    std::chrono::milliseconds m_longestPause{0};
};

} // namespace Heatherridge
