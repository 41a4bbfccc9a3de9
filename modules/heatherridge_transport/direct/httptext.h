#pragma once

#include "heatherridge_transport/http/httpmessages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** The end of a body in chunks. */
constexpr std::string_view LastChunk = "0\r\n\r\n";

/** How a response's body is delimited. */
struct ResponseFraming
{
    std::optional<std::size_t> contentLength{};
    bool isChunked = false;
    bool keepsConnection = true;
};

/** Status line, @p headers but those that concern one connection, and those that @p framing asks for. */
std::string responseHeadText(int status, const std::vector<HttpHeader> &headers, const ResponseFraming &framing);

/** Request line, @p headers as they are, and the body's length where there is or may be a body. */
std::string requestText(std::string_view method, std::string_view target, const std::vector<HttpHeader> &headers,
                        std::string_view body);

/** @p bytes as one chunk. */
std::string chunkText(std::string_view bytes);

/**
 * @p headers without those that concern one connection: the fixed ones of HTTP/1.1 and those that `Connection` names.
 */
std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &headers);

} // namespace Heatherridge
