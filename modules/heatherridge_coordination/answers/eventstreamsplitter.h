#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** A complete event of a stream, or one comment line or blank line between two events. */
struct StreamEvent
{
    std::optional<std::uint64_t> id{};
    bool hasFields = false; ///< false for a line between two events
    std::string text{}; ///< all bytes of the event, including the terminating blank line
};

/**
 * Splits a `text/event-stream` body into complete events.
 *
 * A target that dies may stop in the middle of an event. If that partial event were forwarded, the caller would join it
 * with the first bytes from the target that resumes the stream. Not thread-safe; use from one thread.
 */
class EventStreamSplitter
{
public:
    /** Adds @p bytes. @returns the events, and the lines between them, that are now complete */
    std::vector<StreamEvent> feed(std::string_view bytes);

    /** Whether bytes of an incomplete event are buffered. */
    bool hasPartialEvent() const;

    /** Returns the number of bytes of an incomplete event. */
    std::size_t bufferedBytes() const;

    /** Returns the number of completed events; comments alone are none. */
    std::uint32_t completedEvents() const;

private:
    std::string m_buffer;
    std::uint32_t m_completedEvents = 0;
};

} // namespace Heatherridge
