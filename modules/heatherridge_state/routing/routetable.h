#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/base/result.h"
#include "heatherridge_state/routing/routingconfig.h"

#include <string_view>
#include <unordered_map>

namespace Heatherridge
{

/** What a configuration says of one request. Points into the table that gave it. */
struct RouteMatch
{
    const RouteRule *route = nullptr;
    WorkspaceName workspace{}; ///< holder of the key; null for a public route without a known key
    int priority = 0; ///< the workspace's, else the route's
};

/**
 * One configuration, indexed for look-ups. Immutable; any thread.
 *
 * A request costs one hash look-up for each slash of its path, whatever the number of routes: with 400 routes on one
 * host a scan would be the largest part of an entry's work.
 */
class RouteTable
{
public:
    explicit RouteTable(RoutingConfig config);

    /** The configuration as it came. */
    const RoutingConfig &config() const;

    /**
     * The route of @p host with the longest prefix of @p path, and the workspace that holds @p apiKey.
     * @param host as the caller sent it; case and port don't matter
     * @param path without the query
     * @returns an error of kind NotFound without a route, of kind UnknownApiKey without a valid key where one is due
     */
    Result<RouteMatch> match(std::string_view host, std::string_view path, std::string_view apiKey) const;

    /** The profile of @p service, or nullptr. */
    const ServiceProfile *service(const ServiceName &service) const;

private:
    const RouteRule *findRoute(std::string_view host, std::string_view path) const;

    RoutingConfig m_config;
    std::unordered_map<std::string, std::size_t> m_routes; ///< by host, a blank and prefix
    std::unordered_map<std::string, std::size_t> m_keys; ///< API key to workspace
    std::unordered_map<ServiceName, std::size_t> m_services;
};

/** Taken for the longest pause where no route promises one. */
constexpr std::chrono::milliseconds DefaultMaxEventGap{200};

/** The shortest of the longest pauses between events that the routes to @p service promise. */
std::chrono::milliseconds maxEventGapFor(const RoutingConfig &config, const ServiceName &service);

/** Draws a service of @p route by weight; the null name when no service has a weight. */
ServiceName selectWeightedService(const RouteRule &route, RandomSource &random);

} // namespace Heatherridge
