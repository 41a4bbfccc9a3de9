#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace Heatherridge
{

/**
 * Event: the platform's log was restored from an older copy of itself.
 *
 * The most recently acknowledged records may be lost, and their offsets are assigned again, so earlier offsets are no
 * longer meaningful. Operators and targets write their records again.
 */
struct LogRestored
{
    std::uint64_t previousCount = 0; ///< number of restores before this one
    std::uint64_t newCount = 0;
};

/** Events derived from the metadata of the log's answers. */
struct LogEvents
{
    std::function<void(const LogRestored &restored)> restored{};
    /** Called when an answer was rejected because it does not state in which era of the log it was given. */
    std::function<void(std::string_view answer)> malformed{};
};

} // namespace Heatherridge
