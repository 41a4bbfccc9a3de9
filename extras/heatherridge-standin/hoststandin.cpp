#include "hoststandin.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxVersions = 1000;

bool isHostList(const nlohmann::json &body)
{
    if (!body.is_object() || !body.contains("hosts") || !body["hosts"].is_array()) {
        return false;
    }
    const auto &hosts = body["hosts"];
    return std::all_of(hosts.begin(), hosts.end(), [](const nlohmann::json &host) {
        return host.is_object() && host.contains("host") && host["host"].is_string() && host.contains("state")
            && (host["state"] == "live" || host["state"] == "leaving");
    });
}

} // namespace

HostStandIn::HostStandIn(EventLoop &loop)
    : StandIn(loop,
              {{.name = "lag-ms", .value = 0, .summary = "milliseconds until a change of the list is reported"},
               {.name = "duplicates", .value = 0, .summary = "1: every host is reported twice"},
               {.name = "out", .value = 0, .summary = "1: every request is answered 503 at once"}})
{
}

void HostStandIn::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (switchValue("out") != 0) {
        respondError(*exchange, 503, "the host list is unavailable");
    } else if (request.path != "/hosts") {
        respondError(*exchange, 404, "the host list serves /hosts only");
    } else if (request.method == "PUT") {
        replaceHosts(exchange);
    } else {
        count("reads");
        respondJson(*exchange, 200, {{"hosts", laggedHosts()}});
    }
}

void HostStandIn::replaceHosts(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto body = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!isHostList(body)) {
        respondError(*exchange, 400, "the list must be {\"hosts\":[{\"host\":NAME,\"state\":\"live\"|\"leaving\"}]}");
        return;
    }
    count("changes");
    m_versions.push_back({.since = wallMilliseconds(), .hosts = body["hosts"]});
    if (m_versions.size() > MaxVersions) {
        m_versions.pop_front();
    }
    respondJson(*exchange, 200, {{"hosts", body["hosts"].size()}});
}

nlohmann::json HostStandIn::laggedHosts() const
{
    const auto cutoff = wallMilliseconds() - switchValue("lag-ms");
    auto version = std::find_if(m_versions.rbegin(), m_versions.rend(),
                                [cutoff](const Version &candidate) { return candidate.since <= cutoff; });
    auto hosts = version == m_versions.rend() ? m_versions.front().hosts : version->hosts;
    if (switchValue("duplicates") != 0) {
        const auto originalHosts = hosts;
        hosts.insert(hosts.end(), originalHosts.begin(), originalHosts.end());
    }
    return hosts;
}

} // namespace Heatherridge
