#include "heatherridge_transport/direct/httptext.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, 10> HopByHopHeaders{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Proxy-Authenticate"};

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

std::vector<std::string> connectionHeaderTokens(const std::vector<HttpHeader> &headers)
{
    std::vector<std::string> names;
    for (const auto &header : headers) {
        if (!isSameHeaderName(header.name, "Connection")) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto name = rest.substr(0, rest.find(','));
            rest.remove_prefix(std::min(rest.size(), name.size() + 1));
            names.emplace_back(trimmed(name));
        }
    }
    return names;
}

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
#define HEATHERRIDGE_REASON(number, name, text)                                                                        \
    case number:                                                                                                       \
        return #text;
        HTTP_STATUS_MAP(HEATHERRIDGE_REASON)
#undef HEATHERRIDGE_REASON
    default:
        return "Unknown";
    }
}

} // namespace

std::string responseHeadText(int status, const std::vector<HttpHeader> &headers, const ResponseFraming &framing)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(reasonPhrase(status)).append("\r\n");
    for (const auto &header : endToEndHeaders(headers)) {
        appendHeader(text, header.name, header.value);
    }
    if (framing.contentLength && isBodyAllowed(status)) {
        appendHeader(text, "Content-Length", std::to_string(*framing.contentLength));
    }
    if (framing.isChunked) {
        appendHeader(text, "Transfer-Encoding", "chunked");
    }
    if (!framing.keepsConnection) {
        appendHeader(text, "Connection", "close");
    }
    text.append("\r\n");
    return text;
}

std::string requestHeadText(std::string_view method, std::string_view target, const std::vector<HttpHeader> &headers,
                            std::size_t bodyBytes)
{
    std::string text;
    text.reserve(512);
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    for (const auto &header : headers) {
        appendHeader(text, header.name, header.value);
    }
    if (bodyBytes > 0 || (method != "GET" && method != "HEAD")) {
        appendHeader(text, "Content-Length", std::to_string(bodyBytes));
    }
    text.append("\r\n");
    return text;
}

std::string chunkText(std::string_view bytes)
{
    std::array<char, 20> size{};
    const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string text;
    text.reserve(bytes.size() + 16);
    text.append(size.data(), static_cast<std::size_t>(length)).append(bytes).append("\r\n");
    return text;
}

std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &headers)
{
    const auto connectionTokens = connectionHeaderTokens(headers);
    std::vector<HttpHeader> kept;
    kept.reserve(headers.size());
    for (const auto &header : headers) {
        const bool isListed = std::any_of(connectionTokens.begin(), connectionTokens.end(),
                                          [&](const auto &name) { return isSameHeaderName(name, header.name); });
        if (!isListed && !containsHeaderName(HopByHopHeaders, header.name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace Heatherridge
