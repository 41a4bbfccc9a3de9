#pragma once

#include <optional>
#include <string>

namespace Heatherridge
{

/** Returns the contents of the file at @p path, or nothing if it cannot be read. */
std::optional<std::string> readTextFile(const std::string &path);

} // namespace Heatherridge
