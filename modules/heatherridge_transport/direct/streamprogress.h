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

/**
 * Tracks the progress of a caller's stream across all targets that serve parts of it, and the pauses between its
 * events. Single-threaded.
 */
class StreamProgress
{
public:
    /** @param lastEventId last event that the caller has already received */
    explicit StreamProgress(std::optional<std::uint64_t> lastEventId);

    /** Called when a new attempt starts; its target sends the events after lastEventId(). */
    void beginAttempt();

    /**
     * Returns the events in @p bytes that the caller does not have. A gap in the event ids breaks the attempt. So does
     * an event without id with which an attempt resumes the stream: it may be one that the caller has.
     */
    std::vector<StreamEvent> feed(std::string_view bytes);

    /**
     * Records that an event is forwarded to the caller, @p age after the request arrived.
     * @returns the pause before the event; nothing for the first one
     */
    std::optional<std::chrono::milliseconds> recordForwarded(SteadyTime now, std::chrono::milliseconds age);

    /** Returns whether an event has been forwarded to the caller. */
    bool hasBegun() const;

    /** Returns whether the current attempt cannot continue the stream: an event is missing or cannot be placed. */
    bool isBroken() const;

    /** Returns the number of bytes of an incomplete event. */
    std::size_t bufferedBytes() const;

    /** Returns the number of complete events that the target of the current attempt has sent. */
    std::uint32_t eventsInAttempt() const;

    /**
     * Returns whether another target can continue the stream: the last event that the caller has, if any, has an id.
     */
    bool isResumable() const;

    /**
     * Returns why the stream is broken off if the current attempt has ended: an event is missing or cannot be placed,
     * or its data ends in the middle of one. An attempt whose data @p endsWithConnection, without length or chunks, is
     * also broken off if it had no event.
     */
    std::optional<std::string_view> brokenOffReason(bool endsWithConnection) const;

    /** Returns the id of the last event that the caller has. */
    std::optional<std::uint64_t> lastEventId() const;

    /** Returns when the last event was forwarded to the caller. */
    SteadyTime lastEventAt() const;

    /** Returns the time from the request's arrival to the first event. */
    std::chrono::milliseconds timeToFirstEvent() const;

    /** Returns the longest pause between two events. */
    std::chrono::milliseconds longestPause() const;

private:
    EventStreamSplitter m_splitter;
    std::optional<std::uint64_t> m_lastEventId;
    bool m_hasBegun = false;
    bool m_isBroken = false; ///< @see isBroken()
    bool m_isPlaced = true; ///< it is known which events of the stream the current attempt sends
    bool m_isRepeating = false; ///< the target repeats what precedes the last event that the caller has
    bool m_endsWithoutId = false; ///< the last event that the caller has
    SteadyTime m_lastEventAt{};
    std::chrono::milliseconds m_timeToFirstEvent{0};
    std::chrono::milliseconds m_longestPause{0};
};

} // namespace Heatherridge
