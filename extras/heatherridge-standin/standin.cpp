#include "standin.h"

#include <limits>

namespace Heatherridge
{

StandIn::StandIn(EventLoop &loop, std::vector<FaultSwitch> switches)
    : m_loop(loop)
    , m_faults(std::move(switches))
{
}

void StandIn::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.path == "/counters") {
        respondJson(*exchange, 200, m_counters);
    } else if (request.path == "/faults") {
        if (request.method == "POST") {
            const auto outcome = m_faults.set(nlohmann::json::parse(request.body, nullptr, false));
            if (const auto *error = errorIn(outcome)) {
                respondError(*exchange, 400, error->detail);
                return;
            }
        }
        respondJson(*exchange, 200, m_faults.toJson());
    } else {
        serve(exchange);
    }
}

FaultSwitches &StandIn::faults()
{
    return m_faults;
}

long long StandIn::switchValue(std::string_view name) const
{
    return m_faults.value(name);
}

void StandIn::count(const std::string &name, std::uint64_t increment)
{
    m_counters[name] += increment;
}

EventLoop &StandIn::loop()
{
    return m_loop;
}

void respondJson(HttpExchange &exchange, int status, const nlohmann::json &body)
{
    exchange.respond(HttpResponse{
        .status = status, .headers = {{.name = "Content-Type", .value = "application/json"}}, .body = body.dump()});
}

void respondError(HttpExchange &exchange, int status, const std::string &reason)
{
    respondJson(exchange, status, {{"error", reason}});
}

std::vector<std::string> pathParts(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        const auto slash = path.find('/');
        if (const auto part = path.substr(0, slash); !part.empty()) {
            parts.emplace_back(part);
        }
        path.remove_prefix(slash == std::string_view::npos ? path.size() : slash + 1);
    }
    return parts;
}

long long queryNumber(const HttpRequest &request, std::string_view name, long long fallback)
{
    const auto text = request.queryParameter(name);
    return parseNumber(text, 0, std::numeric_limits<long long>::max()).value_or(fallback);
}

std::int64_t wallMilliseconds()
{
    return SystemClock().wallNow().time_since_epoch().count();
}

} // namespace Heatherridge
