#include "heatherridge_transport/app/adminanswers.h"

#include "heatherridge_transport/app/problem.h"

namespace Heatherridge
{

HttpResponse jsonAnswer(const nlohmann::ordered_json &json)
{
    return {.status = 200,
            .headers = {{"Content-Type", "application/json"}},
            .body = json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace)};
}

HttpResponse metricsAnswer(const Metrics &metrics)
{
    return {.status = 200, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = metrics.exposition()};
}

HttpResponse notFoundAnswer(const std::string &path)
{
    return problemResponse(Error{.kind = ErrorKind::NotFound, .detail = path}, RequestId());
}

std::string hexText(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto place = text.rbegin(); place != text.rend(); ++place, number >>= 4U) {
        *place = digits[number & 15U];
    }
    return text;
}

} // namespace Heatherridge
