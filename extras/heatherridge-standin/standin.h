#pragma once

#include "faultswitches.h"
#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/http/httpserver.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/**
 * Base class of the simulated parts of the platform and simulated back ends.
 *
 * Handles `POST /faults`, `GET /faults` and `GET /counters` itself and passes all other requests to serve(). All
 * methods run on the loop's thread, so a stand-in needs no locks.
 */
class StandIn
{
public:
    /** Creates a stand-in with @p switches that runs on @p loop, which must outlive it. */
    StandIn(EventLoop &loop, std::vector<FaultSwitch> switches);
    virtual ~StandIn() = default;
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    /** Responds to @p exchange, immediately or later. */
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /** Returns the switches, so that the command line can set them. */
    FaultSwitches &faults();

protected:
    /** Responds to a request other than those for switches and counters. */
    virtual void serve(const std::shared_ptr<HttpExchange> &exchange) = 0;

    /** Returns the value of the switch @p name. */
    long long switchValue(std::string_view name) const;

    /** Adds @p increment to the counter @p name. */
    void count(const std::string &name, std::uint64_t increment = 1);

    /** Returns the loop on whose thread all methods run. */
    EventLoop &loop();

private:
    EventLoop &m_loop;
    FaultSwitches m_faults;
    std::map<std::string, std::uint64_t> m_counters;
};

/** Responds to @p exchange with @p status and @p body as JSON. */
void respondJson(HttpExchange &exchange, int status, const nlohmann::json &body);

/** Responds to @p exchange with @p status and a JSON object whose field `error` is @p reason. */
void respondError(HttpExchange &exchange, int status, const std::string &reason);

/** Splits @p path at its slashes; empty parts are omitted. */
std::vector<std::string> pathParts(std::string_view path);

/** Returns the query parameter @p name of @p request as a whole number, or @p fallback if absent or invalid. */
long long queryNumber(const HttpRequest &request, std::string_view name, long long fallback);

/** Returns the milliseconds since the epoch by the host's wall clock. */
std::int64_t wallMilliseconds();

} // namespace Heatherridge
