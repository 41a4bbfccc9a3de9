#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace Heatherridge
{

/**
 * The platform's log has come back from an older copy of itself.
 *
 * What it had acknowledged last may be gone, and its offsets are given out again: a position in it says nothing any
 * more. Operators and targets write again what they had written.
 */
struct LogRestored
{
    std::uint64_t previousCount = 0; ///< how many times it had come back until then
    std::uint64_t newCount = 0;
};

/** What answers of the log say beside their content. */
struct LogEvents
{
    std::function<void(const LogRestored &restored)> restored{};
    /** An answer was not believed, since it does not say in which state of the log it was given. */
    std::function<void(std::string_view answer)> malformed{};
};

} // namespace Heatherridge
