#include "heatherridge_transport/platform/hostlistreader.h"

#include "heatherridge_protocol/jsondocument.h"

namespace Heatherridge
{

namespace
{

constexpr int StatusOk = 200;
constexpr std::size_t MaxListBytes = 4UL << 20U;

} // namespace

std::optional<std::vector<HostListEntry>> parseHostList(std::string_view body)
{
    const auto list = parseJson(body);
    if (!list.is_object() || !list.contains("hosts") || !list["hosts"].is_array()) {
        return std::nullopt;
    }
    std::vector<HostListEntry> hosts;
    hosts.reserve(list["hosts"].size());
    std::size_t readable = 0;
    for (const auto &entry : list["hosts"]) {
        const bool isReadable = entry.is_object() && entry.contains("host") && entry["host"].is_string()
            && entry.contains("state") && entry["state"].is_string();
        if (!isReadable) {
            continue;
        }
        ++readable;
        // Hosts with a state from a later release are skipped: an unknown state must neither remove nor restore a host.
        const auto state = entry["state"].get<std::string>();
        if (state == "live" || state == "leaving") {
            hosts.push_back({.host = HostName(entry["host"].get<std::string>()),
                             .state = state == "live" ? HostState::Live : HostState::Leaving});
        }
    }
    // A list of odd entries alone does not say that there are no hosts.
    return readable > 0 || list["hosts"].empty() ? std::optional(hosts) : std::nullopt;
}

HostListReader::HostListReader(HttpClient &client, Options options, ListHandler onList)
    : m_client(client)
    , m_options(std::move(options))
    , m_onList(std::move(onList))
{
}

void HostListReader::tick(SteadyTime now)
{
    if (m_isReading || now < m_nextReadAt) {
        return;
    }
    m_isReading = true;
    m_nextReadAt = now + m_options.period;
    m_client.send(
        {.endpoint = m_options.endpoint, .request = {.method = "GET", .path = "/hosts"}, .timeout = m_options.timeout},
        [this](const std::variant<HttpResponse, HttpClient::Failure> &result) {
            m_isReading = false;
            const auto *response = std::get_if<HttpResponse>(&result);
            const auto hosts =
                response != nullptr && response->status == StatusOk ? parseHostList(response->body) : std::nullopt;
            if (hosts) {
                m_onList(*hosts);
            } else {
                ++m_failures;
            }
        },
        MaxListBytes);
}

std::uint64_t HostListReader::failures() const
{
    return m_failures;
}

} // namespace Heatherridge
