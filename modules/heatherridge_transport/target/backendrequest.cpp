#include "heatherridge_transport/target/backendrequest.h"

#include <array>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, 4> HopHeaders{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"};

} // namespace

HttpRequest backendRequest(const SubmitRequest &request)
{
    HttpRequest call{.method = request.method,
                     .path = request.path,
                     .query = request.query,
                     .body = std::string(request.body.begin(), request.body.end())};
    for (const auto &header : request.headers) {
        call.headers.push_back({.name = header.name, .value = header.value});
    }
    // The request's id, not the attempt's: an engine repeats it in each event, and a stream can be resumed only if the
    // repeated events are identical to those that the caller has.
    call.headers.push_back({.name = "X-Request-Id", .value = requestOfAttempt(request.id).text()});
    call.headers.push_back({.name = "X-Priority", .value = std::to_string(request.priority)});
    return call;
}

AnswerHead answerHead(const RequestId &id, int status, const std::vector<HttpHeader> &headers)
{
    AnswerHead head{.id = id, .status = status};
    for (const auto &header : headers) {
        if (!containsHeaderName(HopHeaders, header.name)) {
            head.headers.push_back({.name = header.name, .value = header.value});
        }
    }
    return head;
}

} // namespace Heatherridge
