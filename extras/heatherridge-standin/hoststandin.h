#pragma once

#include "standin.h"

#include <cstdint>
#include <deque>
#include <memory>

namespace Heatherridge
{

/**
 * The platform's list of live and leaving hosts, which lags behind changes.
 *
 * `PUT /hosts` sets the list `{"hosts":[{"host":NAME,"state":"live"|"leaving"}]}`, `GET /hosts` returns it as of
 * `lag-ms` milliseconds ago.
 */
class HostStandIn final : public StandIn
{
public:
    /** Creates an empty list. */
    explicit HostStandIn(EventLoop &loop);

protected:
    void serve(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    struct Version
    {
        std::int64_t since = 0; // milliseconds since the epoch
        nlohmann::json hosts = nlohmann::json::array();
    };

    void replaceHosts(const std::shared_ptr<HttpExchange> &exchange);
    nlohmann::json laggedHosts() const;

    std::deque<Version> m_versions{Version{}}; // oldest first, never empty
};

} // namespace Heatherridge
