#include "gateway/conversations/answertext.h"

#include <algorithm>
#include <cstdio>

namespace Heatherridge
{

namespace
{

/** Status of a target that is not the one asked for, which always means that the request has not run. */
constexpr int MisdirectedStatus = 421;
/** Small chunks are used for the first part of a body only, which limits the size of the whole. */
constexpr std::size_t MaxSmallChunks = 200;

bool mayHaveBody(const std::string &method, int status)
{
    return method != "HEAD" && status >= 200 && status != 204 && status != 304;
}

std::string chunked(const AnswerPlan &plan, const std::string &body)
{
    std::string text;
    const auto chunkSize = plan.chunkBytes == 0 ? body.size() : static_cast<std::size_t>(plan.chunkBytes);
    std::size_t chunks = 0;
    for (std::size_t position = 0; position < body.size();) {
        const auto size = ++chunks > MaxSmallChunks ? body.size() - position : chunkSize;
        text += chunkOf(body.substr(position, size));
        position += size;
    }
    return text + (plan.hasTrailer ? "0\r\nX-Trailer: 1\r\n\r\n" : "0\r\n\r\n");
}

std::string headText(const AnswerPlan &plan, const AnswerHeaders &headers)
{
    std::string text;
    for (int i = 0; i < plan.interimCount; ++i) {
        text += i == 0 ? "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" : "HTTP/1.1 100 Continue\r\n\r\n";
    }
    text += "HTTP/1.1 " + std::to_string(headers.status) + " X\r\n";
    if (!headers.id.empty()) {
        text += "X-Heatherridge-Request-Id: " + headers.id + "\r\n";
    }
    if (!headers.signature.empty()) {
        text += "X-Heatherridge-Response-Signature: " + headers.signature + "\r\n";
    }
    if (headers.isRefusal && headers.status != MisdirectedStatus) {
        text += "X-Heatherridge-Not-Executed: 1\r\n";
    }
    return text;
}

} // namespace

std::string AnswerText::bodyWithin(std::size_t size) const
{
    if (size <= bodyStart || body.empty()) {
        return {};
    }
    return isChunked ? body : body.substr(0, size - bodyStart);
}

AnswerText answerText(const AnswerPlan &plan, const AnswerHeaders &headers, const std::string &method,
                      const std::string &body)
{
    using Framing = AnswerPlan::Framing;
    AnswerText text{.bytes = headText(plan, headers)};
    const bool hasBody = mayHaveBody(method, headers.status);
    const bool isFramed = hasBody || method == "HEAD" || plan.hasForbiddenBody;
    const bool isShort = plan.surplus == AnswerPlan::Surplus::Short;
    text.isChunked = plan.framing == Framing::Chunked;
    if (isFramed && text.isChunked) {
        text.bytes += "Transfer-Encoding: chunked\r\n";
    } else if (isFramed && plan.framing == Framing::Length) {
        constexpr std::size_t missingBytes = 10;
        text.bytes += "Content-Length: " + std::to_string(body.size() + (isShort ? missingBytes : 0)) + "\r\n";
    }
    text.bytes += "\r\n";
    text.bodyStart = text.bytes.size();
    if (hasBody || plan.hasForbiddenBody) {
        text.bytes += text.isChunked ? chunked(plan, body) : body;
    }
    if (!hasBody) {
        text.wholeAt = text.bodyStart;
        return text;
    }
    text.body = body;
    text.endsWithConnection = plan.framing == Framing::Unframed;
    if (!text.endsWithConnection && !isShort) {
        text.wholeAt = text.bytes.size();
    }
    return text;
}

std::string chunkOf(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string streamEvent(const std::string &id, int event, int attempt, const AnswerPlan &plan)
{
    return (plan.hasEventIds ? "id: " + std::to_string(event) + "\n" : std::string()) + "data: " + id
        + eventMark(static_cast<std::uint64_t>(event)) + std::to_string(attempt) + std::string(plan.fillBytes, 'y')
        + "\n\n";
}

std::string eventMark(std::uint64_t event)
{
    return " event " + std::to_string(event) + " of attempt ";
}

} // namespace Heatherridge
