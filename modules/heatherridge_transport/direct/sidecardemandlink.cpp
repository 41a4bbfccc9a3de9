#include "heatherridge_transport/direct/sidecardemandlink.h"

#include "heatherridge_transport/direct/sidecarrankclient.h"

namespace Heatherridge
{

namespace
{

constexpr int OkStatus = 200;
/** Maximum size of an answer: that of the largest message is below it. */
constexpr std::size_t MaxAnswerBytes = 4UL << 20U;

Result<DemandResponse> readAnswer(const std::variant<HttpResponse, HttpClient::Failure> &result)
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
    return decodeDemandResponse(response.body);
}

} // namespace

SidecarDemandLink::SidecarDemandLink(HttpClient &client, Options options)
    : m_client(client)
    , m_options(options)
{
}

void SidecarDemandLink::send(const TargetEntry &target, const DemandRequest &request,
                             std::function<void(Result<DemandResponse>)> done)
{
    m_client.send(
        {.endpoint = {.address = target.address.address, .port = m_options.port},
         .request = {.method = "POST", .path = std::string(SidecarPaths::Demand), .body = encode(request)},
         .timeout = m_options.timeout},
        [done = std::move(done)](const auto &result) { done(readAnswer(result)); }, MaxAnswerBytes);
}

} // namespace Heatherridge
