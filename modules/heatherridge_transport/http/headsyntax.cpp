#include "heatherridge_transport/http/headsyntax.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return isDigit(character) || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || marks.find(character) != std::string_view::npos;
}

bool isValueCharacter(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= firstPrintable && byte != deleteCharacter);
}

} // namespace

bool isStatusLine(std::string_view line)
{
    constexpr std::string_view form = "HTTP/1.d ddd"; // d: a digit
    constexpr std::string_view ends = " \r\n";
    if (line.size() <= form.size() || ends.find(line[form.size()]) == std::string_view::npos) {
        return false;
    }
    const bool hasForm = std::equal(form.begin(), form.end(), line.begin(), [](char expected, char character) {
        return expected == 'd' ? isDigit(character) : expected == character;
    });
    const char firstDigit = line[form.find("ddd")];
    return hasForm && firstDigit >= '1' && firstDigit <= '5';
}

bool areHeadersWellFormed(const std::vector<HttpHeader> &headers)
{
    return std::all_of(headers.begin(), headers.end(), [](const auto &header) {
        return !header.name.empty() && std::all_of(header.name.begin(), header.name.end(), isTokenCharacter)
            && std::all_of(header.value.begin(), header.value.end(), isValueCharacter);
    });
}

} // namespace Heatherridge
