#include "heatherridge_transport/http/httpmessages.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <numeric>

namespace Heatherridge
{

namespace
{

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        int code = 0;
        const bool escaped = text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3;
        if (escaped) {
            decoded.push_back(static_cast<char>(code));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

} // namespace

bool isSameHeaderName(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool containsHeaderName(std::span<const std::string_view> names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [name](auto candidate) { return isSameHeaderName(candidate, name); });
}

std::size_t allocatedBytes(const std::string &text)
{
    constexpr std::size_t allocatorBytes = 16;
    return text.capacity() > std::string().capacity() ? text.capacity() + allocatorBytes : 0;
}

std::size_t allocatedBytes(const std::vector<HttpHeader> &headers)
{
    return std::accumulate(headers.begin(), headers.end(), headers.capacity() * sizeof(HttpHeader),
                           [](std::size_t sum, const auto &header) {
                               return sum + allocatedBytes(header.name) + allocatedBytes(header.value);
                           });
}

std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name)
{
    const auto header = std::find_if(headers.begin(), headers.end(),
                                     [name](const auto &entry) { return isSameHeaderName(entry.name, name); });
    return header == headers.end() ? std::string_view{} : std::string_view(header->value);
}

bool isBodyAllowed(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

std::string_view HttpRequest::header(std::string_view name) const
{
    return headerValue(headers, name);
}

std::string HttpRequest::queryParameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string{} : percentDecoded(pair.substr(equals + 1));
        }
    }
    return {};
}

} // namespace Heatherridge
