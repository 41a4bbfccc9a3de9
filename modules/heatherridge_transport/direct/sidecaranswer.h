#pragma once

#include "heatherridge_transport/http/httpclient.h"

#include <string_view>
#include <variant>

namespace Heatherridge
{

/** Maximum size of a sidecar's answer: that of the largest message is below it. */
constexpr std::size_t MaxSidecarAnswerBytes = 4UL << 20U;

/** Returns the body of a sidecar's answer to an exchange between gateways, or the error. */
Result<std::string_view> sidecarAnswerBody(const std::variant<HttpResponse, HttpClient::Failure> &result);

/** Returns the message in a sidecar's answer, decoded by @p decode, or the error. */
template<typename Message>
Result<Message> readSidecarAnswer(const std::variant<HttpResponse, HttpClient::Failure> &result,
                                  Result<Message> (*decode)(std::string_view bytes))
{
    const auto body = sidecarAnswerBody(result);
    if (const auto *error = errorIn(body)) {
        return *error;
    }
    return decode(std::get<std::string_view>(body));
}

} // namespace Heatherridge
