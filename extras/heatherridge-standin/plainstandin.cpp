#include "plainstandin.h"

#include <functional>

namespace Heatherridge
{

namespace
{

constexpr std::uint64_t MaxSeats = 40;

/** Returns the key under which an execution is counted. */
std::string executionKey(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_object()) {
        if (const auto field = json.find("reference"); field != json.end() && field->is_string()) {
            return field->get<std::string>();
        }
    }
    return body;
}

/** Returns whether @p fault applies to this call and decrements its count of calls; -1 applies to all calls. */
bool consumeFault(FaultSwitches &faults, const std::string &fault)
{
    const auto remaining = faults.value(fault);
    if (remaining > 0) {
        faults.set({{fault, remaining - 1}});
    }
    return remaining != 0;
}

} // namespace

PlainStandIn::PlainStandIn(EventLoop &loop)
    : StandIn(
        loop,
        {{.name = "delay-ms", .value = 0, .summary = "milliseconds between the execution and the answer of a call"},
         {.name = "hang", .value = 0, .summary = "1: calls are accepted but neither executed nor answered"},
         {.name = "close-before-run",
          .value = 0,
          .summary = "number of calls whose connection closes before the execution; -1 for all"},
         {.name = "close-after-run",
          .value = 0,
          .summary = "number of calls whose connection closes after the execution; -1 for all"},
         {.name = "fail-status", .value = 0, .summary = "status to answer with instead of executing; 0 is off"}})
{
}

void PlainStandIn::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->request().path == "/executions") {
        respondJson(*exchange, 200, m_executions);
        return;
    }
    count("calls");
    if (switchValue("hang") != 0) {
        count("held");
        m_heldExchanges.push_back(exchange);
        return;
    }
    m_heldExchanges.clear();
    if (consumeFault(faults(), "close-before-run")) {
        count("closed-before-run");
        exchange->abort();
        return;
    }
    if (const auto status = switchValue("fail-status"); status != 0) {
        count("failed");
        respondError(*exchange, static_cast<int>(status), "the switch fail-status is set");
        return;
    }
    handleCall(exchange);
}

void PlainStandIn::handleCall(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.method == "GET" || request.method == "HEAD") {
        loop().after(std::chrono::milliseconds(switchValue("delay-ms")), [this, exchange] { handleLookup(exchange); });
    } else {
        handleExecution(exchange);
    }
}

void PlainStandIn::handleExecution(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto key = executionKey(request.body);
    const auto executions = ++m_executions[key];
    count("executions");
    if (consumeFault(faults(), "close-after-run")) {
        count("closed-after-run");
        exchange->abort();
        return;
    }
    const nlohmann::json answer{{"method", request.method},
                                {"path", request.path},
                                {"reference", key},
                                {"executions", executions},
                                {"bytes", request.body.size()}};
    const int status = request.path == "/bookings" || request.path == "/deposits" ? 201 : 200;
    loop().after(std::chrono::milliseconds(switchValue("delay-ms")),
                 [exchange, status, answer] { respondJson(*exchange, status, answer); });
}

void PlainStandIn::handleLookup(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto parts = pathParts(request.path);
    count("lookups");
    nlohmann::json answer{{"method", request.method}, {"path", request.path}};
    if (!parts.empty() && parts.front() == "availability") {
        answer["seats"] = std::hash<std::string>{}(request.path) % MaxSeats;
    } else if (!parts.empty() && parts.front() == "contracts") {
        answer["contract"] = parts.back();
    }
    respondJson(*exchange, 200, answer);
}

} // namespace Heatherridge
