#include "heatherridge_state/decisions/connectionretention.h"

#include <array>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Returns when a connection is closed in comparison with others: lower numbers first; nothing for never. */
std::optional<int> closingOrder(const RetainedConnection &connection, SteadyTime now)
{
    const bool isRecent = now - connection.since < ConnectionArrivalTime;
    switch (connection.use) {
    case ConnectionUse::Unused:
    case ConnectionUse::Closing:
        return isRecent ? 2 : 0;
    case ConnectionUse::Idle:
        return isRecent ? 3 : 1;
    case ConnectionUse::Unread:
        return 4;
    case ConnectionUse::Busy:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(ConnectionUse use)
{
    constexpr std::array<std::string_view, 5> names{"unused", "closing", "idle", "unread", "busy"};
    return names.at(static_cast<std::size_t>(use));
}

std::optional<std::size_t> connectionToClose(std::span<const RetainedConnection> connections, SteadyTime now)
{
    std::optional<std::size_t> chosen;
    std::pair<int, SteadyTime> lowest;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const auto order = closingOrder(connections[index], now);
        if (!order) {
            continue;
        }
        const std::pair key(*order, connections[index].since);
        if (!chosen || key < lowest) {
            chosen = index;
            lowest = key;
        }
    }
    return chosen;
}

} // namespace Heatherridge
