#include "heatherridge_protocol/jsondocument.h"

namespace Heatherridge
{

bool isShallowJson(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (isInString && character == '\\') {
            ++position;
        } else if (character == '"') {
            isInString = !isInString;
        } else if (!isInString && (character == '[' || character == '{')) {
            if (++depth > MaxJsonDepth) {
                return false;
            }
        } else if (!isInString && (character == ']' || character == '}')) {
            depth -= depth > 0 ? 1 : 0;
        }
    }
    return true;
}

nlohmann::json parseJson(std::string_view text)
{
    return isShallowJson(text) ? nlohmann::json::parse(text, nullptr, false)
                               : nlohmann::json(nlohmann::json::value_t::discarded);
}

} // namespace Heatherridge
