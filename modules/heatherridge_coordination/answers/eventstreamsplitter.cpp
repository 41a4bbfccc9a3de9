#include "heatherridge_coordination/answers/eventstreamsplitter.h"

#include <algorithm>
#include <charconv>

namespace Heatherridge
{

namespace
{

/** Returns the end of the first event in @p text, after its blank line, or npos if the event is incomplete. */
std::size_t findEventEnd(std::string_view text)
{
    const auto lfBlankLine = text.find("\n\n");
    const auto crlfBlankLine = text.find("\r\n\r\n");
    const auto afterLfBlankLine = lfBlankLine == std::string_view::npos ? lfBlankLine : lfBlankLine + 2;
    const auto afterCrlfBlankLine = crlfBlankLine == std::string_view::npos ? crlfBlankLine : crlfBlankLine + 4;
    return std::min(afterLfBlankLine, afterCrlfBlankLine);
}

/** Returns whether @p event has a line that is neither a comment nor blank. */
bool hasField(std::string_view event)
{
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.empty() && line != "\r" && line.front() != ':') {
            return true;
        }
    }
    return false;
}

std::optional<std::uint64_t> parseEventId(std::string_view event)
{
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<StreamEvent> EventStreamSplitter::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<StreamEvent> events;
    std::size_t begin = 0;
    for (auto size = findEventEnd(m_buffer); size != std::string_view::npos;
         size = findEventEnd(std::string_view(m_buffer).substr(begin))) {
        std::string text = m_buffer.substr(begin, size);
        const auto id = parseEventId(text);
        m_hasCompletedEvent = m_hasCompletedEvent || hasField(text);
        events.push_back({.id = id, .text = std::move(text)});
        begin += size;
    }
    m_buffer.erase(0, begin);
    return events;
}

bool EventStreamSplitter::hasCompletedEvent() const
{
    return m_hasCompletedEvent;
}

bool EventStreamSplitter::hasPartialEvent() const
{
    return !m_buffer.empty();
}

} // namespace Heatherridge
