#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace Heatherridge
{

/** What a caller's connection is in use for. */
enum class ConnectionUse {
    Unused, ///< its first whole request has not arrived, or nothing of a later one for some time
    Closing, ///< its last response is written
    Idle, ///< between two requests
    Unread, ///< its caller has not read its response for some time
    Busy, ///< a request is arriving or in progress
};

/** Returns the name of @p use, for the log. */
std::string_view toString(ConnectionUse use);

/** One connection and since when it has been in use for that. */
struct RetainedConnection
{
    ConnectionUse use = ConnectionUse::Busy;
    SteadyTime since{};
};

/** Time that a new connection has for its first request while others can be closed instead. */
constexpr std::chrono::milliseconds ConnectionArrivalTime{1'000};

/**
 * Chooses the connection to close when a new one arrives and no more may be open.
 *
 * Load pattern: clients connect and send nothing, or half a request, as many as the process has descriptors for, and
 * come again once they are closed. New connections of ordinary callers must be read meanwhile, and a connection with a
 * request in progress must not pay for them. So the longest unused one goes first, then the longest idle one; those
 * that have just arrived or answered go after them.
 *
 * @returns the index in @p connections; nothing if all are busy
 */
std::optional<std::size_t> connectionToClose(std::span<const RetainedConnection> connections, SteadyTime now);

} // namespace Heatherridge
