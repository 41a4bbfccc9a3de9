#pragma once

#include "heatherridge_transport/http/httpmessages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/** The last chunk of a chunked body. */
constexpr std::string_view LastChunk = "0\r\n\r\n";

/** How the body of a response is delimited. */
struct ResponseFraming
{
    std::optional<std::size_t> contentLength{};
    bool isChunked = false;
    bool keepsConnection = true;
};

/** Returns the status line, the end-to-end headers among @p headers, and the headers that @p framing requires. */
std::string responseHeadText(int status, const std::vector<HttpHeader> &headers, const ResponseFraming &framing);

/** Returns the head of a request with @p headers unchanged, plus Content-Length if it has @p bodyBytes or its method
 * allows a body. */
std::string requestHeadText(std::string_view method, std::string_view target, const std::vector<HttpHeader> &headers,
                            std::size_t bodyBytes);

/** Returns @p bytes encoded as one chunk. */
std::string chunkText(std::string_view bytes);

/**
 * Returns @p headers without the hop-by-hop headers: those that HTTP/1.1 defines and those that `Connection` lists.
 */
std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &headers);

} // namespace Heatherridge
