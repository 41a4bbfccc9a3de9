#include "heatherridge_transport/app/problem.h"

#include <nlohmann/json.hpp>

namespace Heatherridge
{

namespace
{

nlohmann::ordered_json problemJson(const Error &error, const RequestId &id)
{
    const auto &answer = errorDescriptorFor(error.kind);
    nlohmann::ordered_json problem{{"type", "urn:heatherridge:error:" + std::string(answer.name)},
                                   {"title", answer.summary},
                                   {"status", answer.httpStatus},
                                   {"kind", answer.name},
                                   {"ran", toString(error.ranOrDefault())},
                                   {"request", id.text()}};
    if (!error.detail.empty()) {
        problem["detail"] = error.detail;
    }
    return problem;
}

std::string serialized(const nlohmann::ordered_json &json)
{
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

/** Returns whole seconds for Retry-After, rounded up: a request that is retried too early would be refused again. */
std::string retryAfterSeconds(std::chrono::milliseconds duration)
{
    return std::to_string(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(duration).count()));
}

} // namespace

HttpResponse problemResponse(const Error &error, const RequestId &id)
{
    const auto &answer = errorDescriptorFor(error.kind);
    HttpResponse response{.status = answer.httpStatus, .body = serialized(problemJson(error, id))};
    response.headers = {{"Content-Type", "application/problem+json"}, {std::string(RequestIdHeader), id.text()}};
    if (error.retryAfter || answer.isRetryable) {
        constexpr std::chrono::milliseconds defaultRetryAfter{1000};
        response.headers.push_back({"Retry-After", retryAfterSeconds(error.retryAfter.value_or(defaultRetryAfter))});
    }
    return response;
}

std::string problemEvent(const Error &error, const RequestId &id)
{
    return "event: error\ndata: " + serialized({{"error", problemJson(error, id)}}) + "\n\n";
}

} // namespace Heatherridge
