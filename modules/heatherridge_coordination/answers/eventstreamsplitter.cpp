#include "heatherridge_coordination/answers/eventstreamsplitter.h"

#include <algorithm>
#include <charconv>

namespace Heatherridge
{

namespace
{

/** Where the event that @p text begins with ends, behind its blank line; npos when it is not whole. */
std::size_t endOfEvent(std::string_view text)
{
    const auto plain = text.find("\n\n");
    const auto withReturns = text.find("\r\n\r\n");
    const auto afterPlain = plain == std::string_view::npos ? plain : plain + 2;
    const auto afterReturns = withReturns == std::string_view::npos ? withReturns : withReturns + 4;
    return std::min(afterPlain, afterReturns);
}

std::optional<std::uint64_t> idOf(std::string_view event)
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
    m_held.append(bytes);
    std::vector<StreamEvent> events;
    std::size_t begin = 0;
    for (auto size = endOfEvent(m_held); size != std::string_view::npos;
         size = endOfEvent(std::string_view(m_held).substr(begin))) {
        std::string text = m_held.substr(begin, size);
        const auto id = idOf(text);
        events.push_back({.id = id, .text = std::move(text)});
        begin += size;
    }
    m_held.erase(0, begin);
    return events;
}

bool EventStreamSplitter::isMidEvent() const
{
    return !m_held.empty();
}

} // namespace Heatherridge
