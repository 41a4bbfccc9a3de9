#pragma once

#include <functional>
#include <string_view>

namespace Heatherridge
{

/**
 * Writes @p text to standard output without a wait that nothing ends: while its reader takes nothing, @p shouldGiveUp
 * is called every few milliseconds.
 *
 * A call of write(2) on a full pipe returns only when somebody reads, and a thread in it cannot be joined.
 *
 * @returns whether all of it was written
 */
bool writeToStandardOutput(std::string_view text, const std::function<bool()> &shouldGiveUp);

} // namespace Heatherridge
