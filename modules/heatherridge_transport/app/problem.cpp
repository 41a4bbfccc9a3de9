#include "heatherridge_transport/app/problem.h"

#include <nlohmann/json.hpp>

namespace Heatherridge
{

namespace
{

nlohmann::ordered_json problemOf(const Error &error, const RequestId &id)
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

std::string dumped(const nlohmann::ordered_json &json)
{
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

/** Whole seconds for Retry-After, rounded up: coming back too early would be refused again. */
std::string secondsOf(std::chrono::milliseconds duration)
{
    return std::to_string(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(duration).count()));
}

} // namespace

HttpResponse problemResponse(const Error &error, const RequestId &id)
{
    const auto &answer = errorDescriptorFor(error.kind);
    HttpResponse response{.status = answer.httpStatus, .body = dumped(problemOf(error, id))};
    response.headers = {{"Content-Type", "application/problem+json"}, {std::string(RequestIdHeader), id.text()}};
    if (error.retryAfter || answer.isRetryable) {
        constexpr std::chrono::milliseconds usual{1000};
        response.headers.push_back({"Retry-After", secondsOf(error.retryAfter.value_or(usual))});
    }
    return response;
}

std::string problemEvent(const Error &error, const RequestId &id)
{
    return "event: error\ndata: " + dumped({{"error", problemOf(error, id)}}) + "\n\n";
}

} // namespace Heatherridge
