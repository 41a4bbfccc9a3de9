#include "heatherridge_transport/direct/sidecardemandlink.h"

#include "heatherridge_transport/direct/sidecaranswer.h"
#include "heatherridge_transport/direct/sidecarrankclient.h"

namespace Heatherridge
{

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
        [done = std::move(done)](const auto &result) { done(readSidecarAnswer(result, &decodeDemandResponse)); },
        MaxSidecarAnswerBytes);
}

} // namespace Heatherridge
