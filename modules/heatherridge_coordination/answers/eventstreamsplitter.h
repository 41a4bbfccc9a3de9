#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** One whole event of a stream. */
struct StreamEvent
{
    std::optional<std::uint64_t> id{};
    std::string text{}; ///< all its bytes, the closing blank line included
};

/**
 * Cuts a `text/event-stream` body into whole events.
 *
 * A target that dies may leave off in the midst of an event. Passed on, the torn event would be joined with the first
 * bytes of whichever target goes on. One thread.
 */
class EventStreamSplitter
{
public:
    /** Takes @p bytes. @returns the events that they complete */
    std::vector<StreamEvent> feed(std::string_view bytes);

    /** Whether bytes of an event that is not whole are held. */
    bool hasPartialEvent() const;

private:
    std::string m_buffer;
};

} // namespace Heatherridge
