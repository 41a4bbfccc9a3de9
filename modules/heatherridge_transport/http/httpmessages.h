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

/** Returns the memory in bytes that @p text takes besides its object. */
std::size_t allocatedBytes(const std::string &text);

/** Returns the memory in bytes that @p headers take besides the vector's object. */
std::size_t allocatedBytes(const std::vector<HttpHeader> &headers);

/** Returns the value of the header @p name in @p headers, or an empty string. Names are case-insensitive. */
std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

/** Returns whether two header names are equal, ignoring case. */
bool isSameHeaderName(std::string_view a, std::string_view b);

/** Returns whether @p names contains @p name, ignoring case. */
bool containsHeaderName(std::span<const std::string_view> names, std::string_view name);

/** Returns whether a response with @p status may have a body, whatever its headers say. */
bool isBodyAllowed(int status);

/** A complete HTTP request. */
struct HttpRequest
{
    std::string method{}; ///< upper case
    std::string path{}; ///< without the query
    std::string query{}; ///< the part after the `?`, without the `?`
    std::string target{}; ///< path and query as sent, if the server preserves them; otherwise empty
    std::vector<HttpHeader> headers{};
    std::string body{};

    /** Returns the value of the header @p name, or an empty string. */
    std::string_view header(std::string_view name) const;

    /** Returns the decoded value of the query parameter @p name, or an empty string. */
    std::string queryParameter(std::string_view name) const;
};

/** A complete HTTP response. */
struct HttpResponse
{
    int status = 200;
    std::vector<HttpHeader> headers{};
    std::string body{};
};

} // namespace Heatherridge
