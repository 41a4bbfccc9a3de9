#pragma once

#include <cstddef>

namespace Heatherridge
{

/** What bounds the number of callers' connections of a gateway. */
struct ConnectionResources
{
    std::size_t configured = 0; ///< by the operator
    std::size_t memory = 0; ///< bytes, of the host
    std::size_t descriptors = 0; ///< for sockets; 0 if they are not limited
};

/** Connections that each of the addresses for readiness checks and for metrics serves. */
constexpr std::size_t ServiceConnections = 64;

/**
 * Returns how many connections of callers a gateway may have open.
 *
 * Load pattern: more callers connect than the host has descriptors or memory for. Each connection may have a request in
 * progress, which needs another one to a target, so without a limit neither targets nor the log can be reached.
 */
std::size_t callerConnectionLimit(const ConnectionResources &resources);

} // namespace Heatherridge
