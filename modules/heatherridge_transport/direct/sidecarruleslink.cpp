#include "heatherridge_transport/direct/sidecarruleslink.h"

#include "heatherridge_transport/direct/sidecaranswer.h"
#include "heatherridge_transport/direct/sidecarrankclient.h"

namespace Heatherridge
{

SidecarRulesLink::SidecarRulesLink(HttpClient &client, Options options)
    : m_client(client)
    , m_options(options)
{
}

void SidecarRulesLink::send(const TargetEntry &target, const RulesRequest &request,
                            std::function<void(Result<RulesResponse>)> done)
{
    m_client.send(
        {.endpoint = {.address = target.address.address, .port = m_options.port},
         .request = {.method = "POST", .path = std::string(SidecarPaths::Rules), .body = encode(request)},
         .timeout = m_options.timeout},
        [done = std::move(done)](const auto &result) { done(readSidecarAnswer(result, &decodeRulesResponse)); },
        MaxSidecarAnswerBytes);
}

} // namespace Heatherridge
