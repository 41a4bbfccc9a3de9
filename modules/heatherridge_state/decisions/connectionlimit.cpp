#include "heatherridge_state/decisions/connectionlimit.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

/** Memory of a caller's connection, its call and its connection to a target, without what they buffer. */
constexpr std::size_t ConnectionBytes = 20UL << 10U;
/** Part of the memory that they may take. */
constexpr std::size_t MemoryShare = 6;
/** Descriptors of event loops, listening sockets, and connections to the log. */
constexpr std::size_t OtherDescriptors = 64;
/** A caller's connection and one to a target. */
constexpr std::size_t DescriptorsPerCaller = 2;
constexpr std::size_t MinConnections = 16;

} // namespace

std::size_t callerConnectionLimit(const ConnectionResources &resources)
{
    auto limit = std::min(resources.configured, resources.memory / MemoryShare / ConnectionBytes);
    if (resources.descriptors > 0) {
        constexpr std::size_t taken = 2 * ServiceConnections + OtherDescriptors;
        limit = std::min(limit, (std::max(resources.descriptors, taken) - taken) / DescriptorsPerCaller);
    }
    return std::max(limit, std::min(MinConnections, resources.configured));
}

} // namespace Heatherridge
