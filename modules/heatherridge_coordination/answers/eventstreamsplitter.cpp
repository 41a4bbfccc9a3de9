#include "heatherridge_coordination/answers/eventstreamsplitter.h"

#include <algorithm>
#include <charconv>

namespace Heatherridge
{

namespace
{

bool isFieldLine(std::string_view line)
{
    return !line.empty() && line != "\r" && line.front() != ':';
}

/** Returns the end of the first piece of @p text, or npos if the piece is incomplete. */
std::size_t findPieceEnd(std::string_view text)
{
    bool isInEvent = false;
    std::size_t begin = 0;
    for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', begin)) {
        const auto line = text.substr(begin, end - begin);
        const bool isBlank = line.empty() || line == "\r";
        isInEvent = isInEvent || isFieldLine(line);
        begin = end + 1;
        if (isBlank || !isInEvent) {
            return begin;
        }
    }
    return std::string_view::npos;
}

/** Returns whether @p event has a line that is neither a comment nor blank. */
bool hasField(std::string_view event)
{
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (isFieldLine(line)) {
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
    for (auto size = findPieceEnd(m_buffer); size != std::string_view::npos;
         size = findPieceEnd(std::string_view(m_buffer).substr(begin))) {
        std::string text = m_buffer.substr(begin, size);
        const auto id = parseEventId(text);
        const bool hasFields = hasField(text);
        m_completedEvents += hasFields ? 1 : 0;
        events.push_back({.id = id, .hasFields = hasFields, .text = std::move(text)});
        begin += size;
    }
    m_buffer.erase(0, begin);
    return events;
}

std::uint32_t EventStreamSplitter::completedEvents() const
{
    return m_completedEvents;
}

std::size_t EventStreamSplitter::bufferedBytes() const
{
    return m_buffer.size();
}

bool EventStreamSplitter::hasPartialEvent() const
{
    return !m_buffer.empty();
}

} // namespace Heatherridge
