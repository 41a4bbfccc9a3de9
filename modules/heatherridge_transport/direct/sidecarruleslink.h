#pragma once

#include "heatherridge_coordination/feed/rulesexchange.h"
#include "heatherridge_transport/http/httpclient.h"

namespace Heatherridge
{

/** Sends messages about rules to sidecars over HTTP. Runs on the thread of the client's loop. */
class SidecarRulesLink final : public RulesLink
{
public:
    struct Options
    {
        int port = 0; ///< on which every sidecar listens, on the host of its engine
        std::chrono::milliseconds timeout{500}; ///< for a whole call, which may carry a record
    };

    /** Uses @p client, which must outlive it. */
    SidecarRulesLink(HttpClient &client, Options options);

    void send(const TargetEntry &target, const RulesRequest &request,
              std::function<void(Result<RulesResponse>)> done) override;

private:
    HttpClient &m_client;
    Options m_options;
};

} // namespace Heatherridge
