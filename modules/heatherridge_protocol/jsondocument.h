#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace Heatherridge
{

/** Maximum nesting depth of arrays and objects in a JSON document from another process. */
constexpr std::size_t MaxJsonDepth = 128;

/**
 * Returns whether the arrays and objects of the JSON document @p text are nested at most MaxJsonDepth deep. The result
 * for other text has no meaning.
 *
 * The JSON library parses and destroys values without recursion, but copies, compares and writes them recursively: a
 * value of a few hundred kilobytes can exhaust the stack.
 */
bool isShallowJson(std::string_view text);

/** Parses @p text from another process. Returns a discarded value if it is malformed or nested too deeply. */
nlohmann::json parseJson(std::string_view text);

} // namespace Heatherridge
