#pragma once

#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/base/result.h"
#include "heatherridge_state/routing/regionrule.h"
#include "heatherridge_state/routing/routingconfig.h"

#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Heatherridge
{

/** The route and workspace of a request. Points into the RouteTable that returned it. */
struct RouteMatch
{
    const RouteRule *route = nullptr;
    WorkspaceName workspace{}; ///< owner of the API key; the null name for a public route without a known key
    int priority = 0; ///< of the workspace if it sets one, otherwise of the route
    int rank = 0; ///< order of the request among those of other routes and workspaces; 0 is the highest
    RegionRule regions{}; ///< that both the route and the workspace allow
};

/**
 * A routing configuration, indexed for lookups. Immutable; can be used from any thread.
 *
 * Matching a request takes at most one hash lookup for each slash in its path, independent of the number of routes.
 * With 400 routes on one host, a linear scan would be the largest part of an entry process's work.
 */
class RouteTable
{
public:
    explicit RouteTable(RoutingConfig config);

    /** Returns the configuration that the table was built from. */
    const RoutingConfig &config() const;

    /**
     * Finds the route of @p host with the longest matching prefix of @p path, and the workspace that owns @p apiKey.
     * @param host as sent by the caller; case and port are ignored
     * @param path without the query
     * @returns an error of kind NotFound if no route matches, or of kind UnknownApiKey if the route requires an API key
     *          and @p apiKey is not valid
     */
    Result<RouteMatch> match(std::string_view host, std::string_view path, std::string_view apiKey) const;

    /** Returns the profile of @p service, or nullptr if it is not configured. */
    const ServiceProfile *service(const ServiceName &service) const;

private:
    int rankOf(int priority, const RouteRule &route) const;
    const RouteRule *findRoute(std::string_view host, std::string_view path) const;

    RoutingConfig m_config;
    /** Pairs of a request's priority and its route's that occur with event streams, ordered; the index is the rank. */
    std::vector<std::pair<int, int>> m_rankedPriorities;
    std::unordered_map<std::string, std::size_t> m_routes; ///< key: host, a space and the path prefix
    std::unordered_map<std::string, std::size_t> m_keys; ///< API key to workspace index
    std::unordered_map<ServiceName, std::size_t> m_services;
};

/** Used when no route to a service sets maxEventGap. */
constexpr std::chrono::milliseconds DefaultMaxEventGap{200};

/** Returns the smallest maxEventGap of all routes to @p service, or DefaultMaxEventGap if none of them sets one. */
std::chrono::milliseconds maxEventGapFor(const RoutingConfig &config, const ServiceName &service);

/** Selects a service of @p route at random by weight; returns the null name if no service has a positive weight. */
ServiceName selectWeightedService(const RouteRule &route, RandomSource &random);

} // namespace Heatherridge
