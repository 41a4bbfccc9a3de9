#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** One header field. */
struct HttpHeader
{
    std::string name{};
    std::string value{};
};

/** The value of the header @p name in @p headers (names compare without case), or an empty text. */
std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

/** Whether two header names are the same, without case. */
bool isSameHeaderName(std::string_view a, std::string_view b);

/** Whether @p name is one of @p names, without case. */
bool containsHeaderName(std::span<const std::string_view> names, std::string_view name);

/** One HTTP request in whole. */
struct HttpRequest
{
    std::string method{}; ///< upper case
    std::string path{}; ///< without the query
    std::string query{}; ///< behind the `?`, without it
    std::string target{}; ///< path and query as they were sent, where the server keeps them; else empty
    std::vector<HttpHeader> headers{};
    std::string body{};

    /** The value of the header @p name, or an empty text. */
    std::string_view header(std::string_view name) const;

    /** The decoded value of the query parameter @p name, or an empty text. */
    std::string queryParameter(std::string_view name) const;
};

/** One HTTP response in whole. */
struct HttpResponse
{
    int status = 200;
    std::vector<HttpHeader> headers{};
    std::string body{};
};

} // namespace Heatherridge
