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
 * One part of the platform, or one back end, in small.
 *
 * Answers `POST /faults`, `GET /faults` and `GET /counters` itself and hands all else to serve(). All methods run on
 * the loop's thread, so that nothing in a stand-in needs a lock.
 */
class StandIn
{
public:
    /** A stand-in on @p loop, which must outlive it, with @p switches. */
    StandIn(EventLoop &loop, std::vector<FaultSwitch> switches);
    virtual ~StandIn() = default;
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    /** Answers @p exchange, at once or later. */
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /** The switches, to set them from the command line. */
    FaultSwitches &faults();

protected:
    /** Answers a request that is not about switches or counters. */
    virtual void serve(const std::shared_ptr<HttpExchange> &exchange) = 0;

    /** The value of the switch @p name. */
    long long switchValue(std::string_view name) const;

    /** Adds @p increment to the counter @p name. */
    void count(const std::string &name, std::uint64_t increment = 1);

    /** The loop on whose thread everything runs. */
    EventLoop &loop();

private:
    EventLoop &m_loop;
    FaultSwitches m_faults;
    std::map<std::string, std::uint64_t> m_counters;
};

/** Answers @p exchange with @p status and @p body as JSON. */
void respondJson(HttpExchange &exchange, int status, const nlohmann::json &body);

/** Answers @p exchange with @p status and a JSON object that says @p reason. */
void respondError(HttpExchange &exchange, int status, const std::string &reason);

/** The parts of @p path between its slashes; empty parts are left out. */
std::vector<std::string> pathParts(std::string_view path);

/** The query parameter @p name of @p request as a whole number, or @p fallback when absent or none. */
long long queryNumber(const HttpRequest &request, std::string_view name, long long fallback);

/** Milliseconds since the epoch by the machine's clock. */
std::int64_t wallMilliseconds();

} // namespace Heatherridge
