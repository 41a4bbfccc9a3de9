#pragma once

#include "heatherridge_coordination/demand/demandexchange.h"
#include "heatherridge_transport/http/httpclient.h"

namespace Heatherridge
{

/** Sends demand messages to sidecars over HTTP. Runs on the thread of the client's loop. */
class SidecarDemandLink final : public DemandLink
{
public:
    struct Options
    {
        int port = 0; ///< on which every sidecar listens, on the host of its engine; 0 if there are no sidecars
        std::chrono::milliseconds timeout{250}; ///< for a whole call
    };

    /** Uses @p client, which must outlive it. */
    SidecarDemandLink(HttpClient &client, Options options);

    void send(const TargetEntry &target, const DemandRequest &request,
              std::function<void(Result<DemandResponse>)> done) override;

private:
    HttpClient &m_client;
    Options m_options;
};

} // namespace Heatherridge
