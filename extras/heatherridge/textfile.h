#pragma once

#include <optional>
#include <string>

namespace Heatherridge
{

/** The whole text of the file at @p path, or nothing when it cannot be read. */
std::optional<std::string> readTextFile(const std::string &path);

} // namespace Heatherridge
