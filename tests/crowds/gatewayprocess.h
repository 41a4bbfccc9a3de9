#pragma once

#include "heatherridge_state/heatherridge_state.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Heatherridge
{

/** What the tests of a real gateway set; it listens for callers on a free port. */
struct GatewayProcessOptions
{
    Endpoint ready{};
    Endpoint metrics{};
    Endpoint log{};
    std::size_t memoryMebibytes = 0;
    std::size_t maxConnections = 0;
};

/** Returns the arguments with which heatherridge-gateway starts as gateway "g" in zone "a". */
std::vector<std::string> gatewayArguments(const GatewayProcessOptions &options);

/** Returns an address on the loopback interface with a port that was free. */
Endpoint freeEndpoint();

} // namespace Heatherridge
