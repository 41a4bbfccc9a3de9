#include "heatherridge_transport/direct/sidecaranswer.h"

#include <string>

namespace Heatherridge
{

namespace
{

constexpr int OkStatus = 200;

} // namespace

Result<std::string_view> sidecarAnswerBody(const std::variant<HttpResponse, HttpClient::Failure> &result)
{
    if (const auto *failure = std::get_if<HttpClient::Failure>(&result)) {
        return Error{.kind = ErrorKind::TargetUnreachable, .detail = failure->reason};
    }
    const auto &response = std::get<HttpResponse>(result);
    if (response.status == errorDescriptorFor(ErrorKind::NotFound).httpStatus) {
        return Error{.kind = ErrorKind::NotFound, .detail = "the sidecar does not know the message"};
    }
    if (response.status != OkStatus) {
        return Error{.kind = ErrorKind::BackendFailed,
                     .detail = "sidecar answered with status " + std::to_string(response.status)};
    }
    return std::string_view(response.body);
}

} // namespace Heatherridge
